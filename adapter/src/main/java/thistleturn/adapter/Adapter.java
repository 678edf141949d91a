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
final class Adapter {
  private static final long US_PER_MS = 1000;

  private final BufferedReader in;
  private final Writer out;
  private final StringBuilder reply = new StringBuilder();
  private final Map<Integer, Host> hosts = new HashMap<>();
  private final Map<Integer, Host> touched = new TreeMap<>();
  private final Map<Integer, List<Fields>> sheets = new HashMap<>();
  private long nowUs;
  private long line;

  Adapter(final BufferedReader in, final Writer out) {
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
      case "batch" -> nowUs = fields.whole("clock");
      case "flush" -> finishBatch();
      case "sheet" -> readSheet(fields);
      case "enlist" -> enlist(fields);
      case "stop" -> {
        hosts.remove(instance(fields));
        touched.remove(instance(fields));
      }
      default -> deliver(fields);
    }
  }

  private void finishBatch() throws IOException {
    touched.values().forEach(host -> host.guard(() -> host.control.decide(nowUs)));
    touched.clear();
    reply.append("yield\n");
    out.append(reply);
    out.flush();
    reply.setLength(0);
  }

  private static int instance(final Fields fields) {
    return (int) fields.whole("i");
  }

  private void readSheet(final Fields fields) throws IOException {
    final long rows = fields.whole("rows");
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
    sheets.put((int) fields.whole("bank"), entries);
  }

  private void enlist(final Fields fields) {
    final int instance = instance(fields);
    final Host host = new Host(instance);
    hosts.put(instance, host);
    touched.put(instance, host);
    final Courier.Settings settings = SettingsReader.read(fields);
    host.settings = settings;
    final List<String> reported = List.of(fields.list("feedback.fields"));
    host.shareField = reported.indexOf("x0");
    host.limitField = reported.indexOf("x1");
    host.guard(() -> host.control = new Control(settings, fields.whole("nonce64", 0), host));
  }

  private void deliver(final Fields fields) {
    final Host host = hosts.get(instance(fields));
    if (host == null) {
      throw fields.malformed("'" + fields.tag() + "' for an instance that was never enlisted");
    }
    final Runnable event =
        switch (fields.tag()) {
          case "endpoints" -> list(host, fields);
          case "incoming" -> message(host, fields);
          case "returned" -> outcome(host, fields);
          case "expired" -> {
            final String ref = fields.text("ref");
            yield () -> host.control.onExpired(nowUs, ref);
          }
          default -> null;
        };
    touched.put(host.instance, host);
    if (event != null) {
      host.guard(event);
    }
  }

  private Runnable list(final Host host, final Fields fields) {
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
      final List<Fields> rows = sheets.get((int) fields.whole("bank"));
      if (rows == null) {
        throw fields.malformed("no sheet " + fields.text("bank"));
      }
      rows.forEach(row -> entries.add(endpoint(host, row)));
    }
    return () -> host.control.onList(nowUs, update, entries);
  }

  private static Courier.Endpoint endpoint(final Host host, final Fields row) {
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
        row.whole("endpoint"),
        condition,
        row.text("locality", ""),
        row.number("power_hint", 0),
        kind,
        row.whole("cell", 0));
  }

  private Runnable message(final Host host, final Fields fields) {
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
            fields.whole("valid_until"),
            fields.whole("destination", 0));
    return () -> host.control.onMessage(nowUs, message);
  }

  private static Courier.Result result(final Fields fields) {
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

  private static Courier.Allowance allowance(final Host host, final Fields fields) {
    final String[] values = fields.list("load");
    if (values.length == 0
        || host.shareField < 0
        || host.limitField < 0
        || Math.max(host.shareField, host.limitField) >= values.length) {
      return null;
    }
    return new Courier.Allowance(
        fields.number(values[host.shareField]), fields.number(values[host.limitField]));
  }

  private Runnable outcome(final Host host, final Fields fields) {
    final Courier.Result result = result(fields);
    final long waitUs =
        result == Courier.Result.REFUSED ? fields.whole("remark_ms", 0) * US_PER_MS : 0;
    final var outcome =
        new Courier.Outcome(
            fields.text("ref"),
            result,
            fields.flag("complete"),
            fields.whole("endpoint", 0),
            fields.whole("duration", 0),
            waitUs,
            allowance(host, fields));
    return () -> host.control.onOutcome(nowUs, outcome);
  }

  /** One instance: its decisions, and the writer of its actions. */
  private final class Host implements Courier.Actions {
    private final int instance;
    private Courier.Settings settings;
    private Courier control;
    private int shareField = -1;
    private int limitField = -1;

    Host(final int instance) {
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
