package thistleturn.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.OverloadController;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.LoadReport;
import thistleturn.decisions.model.Message;
import thistleturn.settings.Fields;
import thistleturn.settings.SettingsReader;

/**
 * Translates between the bench's wire and {@link DeliveryController}. It decides nothing. One
 * {@link OverloadController} per instance; they share nothing. Unknown events, settings and fields
 * are ignored.
 */
final class SimulatorAdapter {
  private static final long US_PER_MS = 1000;

  private final BufferedReader in;
  private final Writer out;
  private final StringBuilder reply = new StringBuilder();
  private final Map<Integer, Instance> instances = new HashMap<>();
  private final Map<Integer, Instance> changedInstances = new TreeMap<>();
  private final Map<Integer, List<Fields>> sheets = new HashMap<>();
  private long nowUs;
  private long line;

  SimulatorAdapter(final BufferedReader in, final Writer out) {
    this.in = in;
    this.out = out;
  }

  /** Answers batch after batch until the input ends. */
  void run() throws IOException {
    String text = in.readLine();
    while (text != null) {
      line++;
      if (!text.isEmpty()) {
        handle(text);
      }
      text = in.readLine();
    }
  }

  private void handle(final String text) throws IOException {
    final Fields fields = Fields.parse(text, line);
    switch (fields.tag()) {
      case "batch" -> nowUs = fields.integer("clock");
      case "flush" -> flushBatch();
      case "sheet" -> readSheet(fields);
      case "enlist" -> startInstance(fields);
      case "stop" -> {
        instances.remove(instanceNumber(fields));
        changedInstances.remove(instanceNumber(fields));
      }
      default -> dispatch(fields);
    }
  }

  private void flushBatch() throws IOException {
    changedInstances.values().forEach(host -> host.guard(() -> host.controller.decide(nowUs)));
    changedInstances.clear();
    reply.append("yield\n");
    out.append(reply);
    out.flush();
    reply.setLength(0);
  }

  private static int instanceNumber(final Fields fields) {
    return (int) fields.integer("i");
  }

  private void readSheet(final Fields fields) throws IOException {
    final long rows = fields.integer("rows");
    final List<Fields> entries = new ArrayList<>();
    for (long row = 0; row < rows; row++) {
      final String text = in.readLine();
      line++;
      final Fields entry = text == null ? null : Fields.parse(text, line);
      if (entry == null || !entry.tag().equals("m")) {
        throw fields.malformed("a sheet of " + rows + " rows ends after " + row);
      }
      entries.add(entry);
    }
    sheets.put((int) fields.integer("bank"), entries);
  }

  private void startInstance(final Fields fields) {
    final int instance = instanceNumber(fields);
    final Instance host = new Instance(instance);
    instances.put(instance, host);
    changedInstances.put(instance, host);
    final DeliverySettings settings = SettingsReader.read(fields);
    host.settings = settings;
    final List<String> reported = List.of(fields.list("feedback.fields"));
    host.shareField = reported.indexOf("x0");
    host.limitField = reported.indexOf("x1");
    host.guard(
        () ->
            host.controller = new OverloadController(settings, fields.integer("nonce64", 0), host));
  }

  private void dispatch(final Fields fields) {
    final Instance host = instances.get(instanceNumber(fields));
    if (host == null) {
      throw fields.malformed("'" + fields.tag() + "' for an instance that was never enlisted");
    }
    final Runnable event =
        switch (fields.tag()) {
          case "endpoints" -> parseEndpointUpdate(host, fields);
          case "incoming" -> parseMessage(host, fields);
          case "returned" -> parseOutcome(host, fields);
          case "expired" -> {
            final String ref = fields.text("ref");
            yield () -> host.controller.onMessageAbandoned(nowUs, ref);
          }
          default -> null;
        };
    changedInstances.put(host.instance, host);
    if (event != null) {
      host.guard(event);
    }
  }

  private Runnable parseEndpointUpdate(final Instance host, final Fields fields) {
    final EndpointUpdate update =
        switch (fields.text("scope")) {
          case "incr" -> EndpointUpdate.CHANGES;
          case "total" -> EndpointUpdate.COMPLETE_SNAPSHOT;
          case "warm_copy" -> EndpointUpdate.RESTORED_SNAPSHOT;
          case "lost" -> EndpointUpdate.UNAVAILABLE;
          default -> throw fields.malformed("unknown scope '" + fields.text("scope") + "'");
        };
    final List<Endpoint> entries = new ArrayList<>();
    if (update != EndpointUpdate.UNAVAILABLE) {
      final List<Fields> rows = sheets.get((int) fields.integer("bank"));
      if (rows == null) {
        throw fields.malformed("no sheet " + fields.text("bank"));
      }
      rows.forEach(row -> entries.add(parseEndpoint(host, row)));
    }
    return () -> host.controller.onEndpointList(nowUs, update, entries);
  }

  private static Endpoint parseEndpoint(final Instance host, final Fields row) {
    final EndpointState condition =
        switch (row.text("condition", "U")) {
          case "U" -> EndpointState.LISTED;
          case "L" -> EndpointState.DRAINING;
          case "D" -> EndpointState.GONE;
          default -> throw row.malformed("unknown condition '" + row.text("condition") + "'");
        };
    final String kindName = row.text("kind", "");
    int kind = -1;
    for (int index = 0; index < host.settings.kinds().size(); index++) {
      if (host.settings.kinds().get(index).name().equals(kindName)) {
        kind = index;
      }
    }
    return new Endpoint(
        row.integer("endpoint"),
        condition,
        row.text("locality", ""),
        row.decimal("power_hint", 0),
        kind,
        row.integer("cell", 0));
  }

  private Runnable parseMessage(final Instance host, final Fields fields) {
    final String className = fields.text("qos", "");
    int classIndex = -1;
    for (int index = 0; index < host.settings.classes().size(); index++) {
      if (host.settings.classes().get(index).name().equals(className)) {
        classIndex = index;
      }
    }
    if (classIndex < 0) {
      throw fields.malformed("unknown class '" + className + "'");
    }
    final String tenantName = fields.text("user_group", "");
    int tenant = -1;
    for (int index = 0; index < host.settings.tenants().size(); index++) {
      if (host.settings.tenants().get(index).name().equals(tenantName)) {
        tenant = index;
      }
    }
    final var message =
        new Message(
            fields.text("ref"),
            classIndex,
            tenant,
            fields.text("object", null),
            fields.integer("valid_until"),
            fields.integer("destination", 0));
    return () -> host.controller.onMessage(nowUs, message);
  }

  private static AttemptResult parseResult(final Fields fields) {
    return switch (fields.text("reason")) {
      case "served" -> AttemptResult.DELIVERED;
      case "server_error" -> AttemptResult.ERROR;
      case "turned_away" -> AttemptResult.REFUSED;
      case "no_answer" -> AttemptResult.TIMED_OUT;
      case "no_connection" -> AttemptResult.NO_CONNECTION;
      case "connection_lost" -> AttemptResult.RESET;
      case "called_off" -> AttemptResult.CANCELLED;
      case "not_sent" -> AttemptResult.NOT_SENT;
      default -> throw fields.malformed("unknown reason '" + fields.text("reason") + "'");
    };
  }

  private static LoadReport parseLoadReport(final Instance host, final Fields fields) {
    final String[] values = fields.list("load");
    if (values.length == 0
        || host.shareField < 0
        || host.limitField < 0
        || Math.max(host.shareField, host.limitField) >= values.length) {
      return null;
    }
    return new LoadReport(
        fields.decimal(values[host.shareField]), fields.decimal(values[host.limitField]));
  }

  private Runnable parseOutcome(final Instance host, final Fields fields) {
    final AttemptResult result = parseResult(fields);
    final long waitUs =
        result == AttemptResult.REFUSED ? fields.integer("remark_ms", 0) * US_PER_MS : 0;
    final var outcome =
        new AttemptOutcome(
            fields.text("ref"),
            result,
            fields.flag("complete"),
            fields.integer("endpoint", 0),
            fields.integer("duration", 0),
            waitUs,
            parseLoadReport(host, fields));
    return () -> host.controller.onOutcome(nowUs, outcome);
  }

  /** One instance: its decisions, and the writer of its actions. */
  private final class Instance implements DeliveryActions {
    private final int instance;
    private DeliverySettings settings;
    private DeliveryController controller;
    private int shareField = -1;
    private int limitField = -1;

    Instance(final int instance) {
      this.instance = instance;
    }

    /**
     * Runs an event; a failure of the decisions is told to the bench, with its cause, instead of
     * hiding it.
     */
    void guard(final Runnable event) {
      try {
        event.run();
      } catch (final RuntimeException e) {
        final StackTraceElement[] trace = e.getStackTrace();
        final String where = trace.length > 0 ? " at " + trace[0] : "";
        act("die").append("\twhat=").append((e + where).replaceAll("\\s+", " ")).append('\n');
        e.printStackTrace();
      }
    }

    private StringBuilder act(final String action) {
      return reply.append(action).append("\ti=").append(instance);
    }

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
      act("pass_on")
          .append("\tref=")
          .append(messageId)
          .append("\tpatience=")
          .append(timeoutUs)
          .append("\tendpoint=")
          .append(endpoint)
          .append('\n');
    }

    @Override
    public void shed(final String messageId, final long retryAfterUs) {
      act("decline").append("\tref=").append(messageId);
      if (retryAfterUs > 0) {
        reply.append("\tretry_after=").append(retryAfterUs);
      }
      reply.append('\n');
    }

    @Override
    public void fail(final String messageId) {
      act("drop_request").append("\tref=").append(messageId).append('\n');
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
      act("stop_attempt")
          .append("\tref=")
          .append(messageId)
          .append("\tleg=")
          .append(attempt)
          .append('\n');
    }

    @Override
    public void closeIdleConnections(final long endpoint) {
      act("free_links").append("\tendpoint=").append(endpoint).append('\n');
    }

    @Override
    public void subscribeToEndpointList() {
      act("follow").append("\ton=1\n");
    }

    @Override
    public void scheduleDecision(final long delayUs) {
      act("remind").append("\tdelay=").append(delayUs).append("\ttoken=0\n");
    }
  }
}
