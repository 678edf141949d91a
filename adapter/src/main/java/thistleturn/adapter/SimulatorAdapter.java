package thistleturn.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import thistleturn.decisions.Control;
import thistleturn.decisions.Courier;
import thistleturn.settings.Fields;
import thistleturn.settings.SettingsReader;

/**
 * Translates between the bench's wire and {@link Courier}. It decides nothing. One {@link Control}
 * per instance; they share nothing. Unknown events, settings and fields are ignored.
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
    final Courier.Settings settings = SettingsReader.read(fields);
    host.settings = settings;
    final List<String> reported = List.of(fields.list("feedback.fields"));
    host.shareField = reported.indexOf("x0");
    host.limitField = reported.indexOf("x1");
    host.guard(() -> host.controller = new Control(settings, fields.integer("nonce64", 0), host));
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
            yield () -> host.controller.onExpired(nowUs, ref);
          }
          default -> null;
        };
    changedInstances.put(host.instance, host);
    if (event != null) {
      host.guard(event);
    }
  }

  private Runnable parseEndpointUpdate(final Instance host, final Fields fields) {
    final Courier.Update update =
        switch (fields.text("scope")) {
          case "incr" -> Courier.Update.CHANGES;
          case "total" -> Courier.Update.WHOLE;
          case "warm_copy" -> Courier.Update.RESTORED;
          case "lost" -> Courier.Update.LOST;
          default -> throw fields.malformed("unknown scope '" + fields.text("scope") + "'");
        };
    final List<Courier.Endpoint> entries = new ArrayList<>();
    if (update != Courier.Update.LOST) {
      final List<Fields> rows = sheets.get((int) fields.integer("bank"));
      if (rows == null) {
        throw fields.malformed("no sheet " + fields.text("bank"));
      }
      rows.forEach(row -> entries.add(parseEndpoint(host, row)));
    }
    return () -> host.controller.onList(nowUs, update, entries);
  }

  private static Courier.Endpoint parseEndpoint(final Instance host, final Fields row) {
    final Courier.Condition condition =
        switch (row.text("condition", "U")) {
          case "U" -> Courier.Condition.LISTED;
          case "L" -> Courier.Condition.DRAINING;
          case "D" -> Courier.Condition.GONE;
          default -> throw row.malformed("unknown condition '" + row.text("condition") + "'");
        };
    final String kindName = row.text("kind", "");
    int kind = -1;
    for (int index = 0; index < host.settings.kinds().size(); index++) {
      if (host.settings.kinds().get(index).name().equals(kindName)) {
        kind = index;
      }
    }
    return new Courier.Endpoint(
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
        new Courier.Message(
            fields.text("ref"),
            classIndex,
            tenant,
            fields.text("object", null),
            fields.integer("valid_until"),
            fields.integer("destination", 0));
    return () -> host.controller.onMessage(nowUs, message);
  }

  private static Courier.Result parseResult(final Fields fields) {
    return switch (fields.text("reason")) {
      case "served" -> Courier.Result.DELIVERED;
      case "server_error" -> Courier.Result.ERROR;
      case "turned_away" -> Courier.Result.REFUSED;
      case "no_answer" -> Courier.Result.TIMED_OUT;
      case "no_connection" -> Courier.Result.NO_CONNECTION;
      case "connection_lost" -> Courier.Result.RESET;
      case "called_off" -> Courier.Result.CANCELLED;
      case "not_sent" -> Courier.Result.NOT_SENT;
      default -> throw fields.malformed("unknown reason '" + fields.text("reason") + "'");
    };
  }

  private static Courier.Allowance parseLoadReport(final Instance host, final Fields fields) {
    final String[] values = fields.list("load");
    if (values.length == 0
        || host.shareField < 0
        || host.limitField < 0
        || Math.max(host.shareField, host.limitField) >= values.length) {
      return null;
    }
    return new Courier.Allowance(
        fields.decimal(values[host.shareField]), fields.decimal(values[host.limitField]));
  }

  private Runnable parseOutcome(final Instance host, final Fields fields) {
    final Courier.Result result = parseResult(fields);
    final long waitUs =
        result == Courier.Result.REFUSED ? fields.integer("remark_ms", 0) * US_PER_MS : 0;
    final var outcome =
        new Courier.Outcome(
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
  private final class Instance implements Courier.Actions {
    private final int instance;
    private Courier.Settings settings;
    private Courier controller;
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
    public void refuse(final String messageId, final long retryAfterUs) {
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
    public void closeIdle(final long endpoint) {
      act("free_links").append("\tendpoint=").append(endpoint).append('\n');
    }

    @Override
    public void follow() {
      act("follow").append("\ton=1\n");
    }

    @Override
    public void wake(final long delayUs) {
      act("remind").append("\tdelay=").append(delayUs).append("\ttoken=0\n");
    }
  }
}
