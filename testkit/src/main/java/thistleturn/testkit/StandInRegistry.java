package thistleturn.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * A registry with Eureka's REST operations (wiki page "Eureka REST operations") in JSON under
 * {@code /eureka}: register, renew, cancel, status overrides, metadata, all, deltas, one
 * application, one instance, and VIPs. Entries keep everything that a registration held. Faults can
 * be injected, and leases expire when a test advances the time.
 */
public final class StandInRegistry implements AutoCloseable {
  private static final String BASE = "/eureka";
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int HUGE_CHUNK_BYTES = 1 << 16;
  private static final long HUGE_BYTES = 1L << 30;
  private static final long DEFAULT_LEASE_MS = 90_000;

  /**
   * The fault of its answers to queries; registrations and renewals are controlled by {@link
   * #refuseRenewals}.
   */
  public enum Fault {
    /** No fault. */
    NONE,
    /** Accepts queries and never answers. */
    HUNG,
    /** Answers 503. */
    UNAVAILABLE,
    /** Answers with bytes that are not HTTP. */
    NOISE,
    /** Answers 200 with text that is not JSON. */
    NOT_JSON,
    /** Closes the connection in the middle of its JSON. */
    TRUNCATED,
    /** Begins with valid JSON and continues for a gigabyte. */
    HUGE,
    /** Answers completely and well-formed, without any instance. */
    EMPTY,
    /** Answers with the content it had when the fault began. */
    STALE,
    /** Sends a hash that does not match its content. */
    WRONG_HASH
  }

  private record Lease(ObjectNode instance, long expiresMs) {}

  private final Map<String, Map<String, Lease>> apps = new LinkedHashMap<>();
  private final List<ObjectNode> recent = new ArrayList<>();
  private final HttpStandIn server;
  private final Map<String, Integer> requests = new TreeMap<>();
  private Fault fault = Fault.NONE;
  private String snapshot = "";
  private boolean refusesRenewals;
  private boolean refusesDeltas;
  private long nowMs = System.currentTimeMillis();
  private long version = 1;
  private Runnable onAnswerWritten = () -> {};

  /** Listens on 127.0.0.1, on a port that the system chooses; it has no instances. */
  public StandInRegistry(final EventLoopGroup group) {
    this.server = new HttpStandIn(group, new InetSocketAddress("127.0.0.1", 0), this::serve);
  }

  /** The base URL, as clients are configured with it. */
  public String url() {
    return "http://" + server.address() + BASE;
  }

  /** The server; stops it and starts it again. */
  public HttpStandIn server() {
    return server;
  }

  /** Sets the fault of its answers. */
  public synchronized void setFault(final Fault next) {
    snapshot = next == Fault.STALE ? applicationsJson(false, unused -> true).toString() : "";
    fault = next;
  }

  /** While true, renewals are answered with 500 and registrations with 503. */
  public synchronized void refuseRenewals(final boolean on) {
    refusesRenewals = on;
  }

  /** While true, it answers delta queries with 404, as a registry with deltas switched off. */
  public synchronized void refuseDeltas(final boolean on) {
    refusesDeltas = on;
  }

  /** How many requests of each kind came, by method and operation. */
  public synchronized Map<String, Integer> requests() {
    return new TreeMap<>(requests);
  }

  // ---------------------------------------------------------------- entries

  /** An instance as a registration holds it; metadata are given as name, value, name, value. */
  public static ObjectNode instance(
      final String app,
      final String id,
      final String ip,
      final int port,
      final String status,
      final String... metadata) {
    final ObjectNode instance =
        JSON.createObjectNode()
            .put("instanceId", id)
            .put("hostName", ip)
            .put("app", app.toUpperCase(Locale.ROOT))
            .put("ipAddr", ip)
            .put("status", status)
            .put("overriddenstatus", "UNKNOWN");
    instance.putObject("port").put("$", port).put("@enabled", "true");
    instance.putObject("securePort").put("$", 443).put("@enabled", "false");
    instance
        .put("countryId", 1)
        .putObject("dataCenterInfo")
        .put("@class", "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo")
        .put("name", "MyOwn");
    instance
        .putObject("leaseInfo")
        .put("renewalIntervalInSecs", 30)
        .put("durationInSecs", 90)
        .put("registrationTimestamp", 0)
        .put("lastRenewalTimestamp", 0)
        .put("evictionTimestamp", 0)
        .put("serviceUpTimestamp", 0);
    final ObjectNode metadataNode = instance.putObject("metadata");
    for (int index = 0; index < metadata.length; index += 2) {
      metadataNode.put(metadata[index], metadata[index + 1]);
    }
    return instance
        .put("vipAddress", app.toLowerCase(Locale.ROOT))
        .put("secureVipAddress", app.toLowerCase(Locale.ROOT))
        .put("isCoordinatingDiscoveryServer", "false");
  }

  /** An endpoint of a destination, with the metadata that the courier reads. */
  public static ObjectNode endpoint(
      final String app,
      final String id,
      final int port,
      final long destination,
      final String status) {
    return instance(
        app,
        id,
        "127.0.0.1",
        port,
        status,
        "thistleturn.destination",
        Long.toString(destination),
        "thistleturn.kind",
        "std",
        "zone",
        "a",
        "thistleturn.rate",
        "1000");
  }

  /** Adds or replaces an instance. */
  public synchronized void register(final ObjectNode instance) {
    final String app = instance.path("app").asText();
    final boolean known = apps.containsKey(app) && apps.get(app).containsKey(id(instance));
    final String stamp = Long.toString(nextTimestamp());
    instance.put("lastUpdatedTimestamp", stamp).put("actionType", known ? "MODIFIED" : "ADDED");
    if (!instance.has("lastDirtyTimestamp")) {
      instance.put("lastDirtyTimestamp", stamp);
    }
    apps.computeIfAbsent(app, unused -> new LinkedHashMap<>()).put(id(instance), lease(instance));
    recent.add(instance);
  }

  private Lease lease(final ObjectNode instance) {
    final long ms =
        instance.path("leaseInfo").path("durationInSecs").asLong(DEFAULT_LEASE_MS / 1000) * 1000;
    return new Lease(instance, nowMs + ms);
  }

  /** Returns a time stamp; they increase even within one millisecond. */
  private long nextTimestamp() {
    version++;
    return nowMs + version;
  }

  /** Changes the status that the instance itself reports. */
  public synchronized boolean setStatus(final String app, final String id, final String status) {
    final Lease lease = find(app, id);
    if (lease == null) {
      return false;
    }
    final ObjectNode changed = lease.instance().deepCopy().put("status", status);
    changed.put("lastDirtyTimestamp", Long.toString(nextTimestamp()));
    register(changed);
    return true;
  }

  /**
   * As {@link #setStatus(String, String, String)}; runs the listener whenever a complete answer has
   * been written from then on.
   */
  public synchronized boolean setStatus(
      final String app, final String id, final String status, final Runnable onAnswer) {
    onAnswerWritten = onAnswer;
    return setStatus(app, id, status);
  }

  /** Overrides its status as an operator does; null removes the override. */
  public synchronized boolean overrideStatus(
      final String app, final String id, final String status) {
    final Lease lease = find(app, id);
    if (lease == null) {
      return false;
    }
    final ObjectNode changed = lease.instance().deepCopy();
    changed
        .put("overriddenstatus", status == null ? "UNKNOWN" : status)
        .put("status", status == null ? "UP" : status);
    register(changed);
    return true;
  }

  /** Removes an instance. */
  public synchronized boolean cancel(final String app, final String id) {
    final Lease lease = find(app, id);
    if (lease == null) {
      return false;
    }
    apps.get(app.toUpperCase(Locale.ROOT)).remove(id);
    if (apps.get(app.toUpperCase(Locale.ROOT)).isEmpty()) {
      apps.remove(app.toUpperCase(Locale.ROOT));
    }
    recent.add(
        lease
            .instance()
            .deepCopy()
            .put("actionType", "DELETED")
            .put("lastUpdatedTimestamp", Long.toString(nextTimestamp())));
    return true;
  }

  /** Advances the time: leases that were not renewed expire, and older changes leave the delta. */
  public synchronized void advanceTime(final long ms) {
    nowMs += ms;
    recent.clear();
    for (final Map<String, Lease> leases : List.copyOf(apps.values())) {
      for (final Lease lease : List.copyOf(leases.values())) {
        if (lease.expiresMs() <= nowMs) {
          cancel(lease.instance().path("app").asText(), id(lease.instance()));
        }
      }
    }
  }

  /** Restarts without its entries. */
  public synchronized void restart() {
    apps.clear();
    recent.clear();
    version = 1;
  }

  /** The entry of an instance; null if there is none. */
  public synchronized ObjectNode entry(final String app, final String id) {
    final Lease lease = find(app, id);
    return lease == null ? null : lease.instance().deepCopy();
  }

  /** The number of instances it has. */
  public synchronized int size() {
    return apps.values().stream().mapToInt(Map::size).sum();
  }

  private Lease find(final String app, final String id) {
    final Map<String, Lease> leases = apps.get(app.toUpperCase(Locale.ROOT));
    return leases == null ? null : leases.get(id);
  }

  private static String id(final JsonNode instance) {
    return instance.hasNonNull("instanceId")
        ? instance.path("instanceId").asText()
        : instance.path("hostName").asText();
  }

  // ---------------------------------------------------------------- answers

  /** The applications with all matching instances, or with the recent changes only. */
  private ObjectNode applicationsJson(final boolean changes, final Predicate<JsonNode> wanted) {
    final Map<String, ArrayNode> byApp = new LinkedHashMap<>();
    final List<ObjectNode> selected = new ArrayList<>();
    if (changes) {
      selected.addAll(recent);
    } else {
      apps.values()
          .forEach(leases -> leases.values().forEach(lease -> selected.add(lease.instance())));
    }
    for (final ObjectNode instance : selected) {
      if (wanted.test(instance)) {
        byApp
            .computeIfAbsent(instance.path("app").asText(), unused -> JSON.createArrayNode())
            .add(instance);
      }
    }
    final ObjectNode root = JSON.createObjectNode();
    final ObjectNode applications =
        root.putObject("applications")
            .put("versions__delta", Long.toString(version))
            .put("apps__hashcode", fault == Fault.WRONG_HASH ? "UP_1234567_" : hash(wanted));
    final ArrayNode list = applications.putArray("application");
    byApp.forEach((app, instances) -> list.addObject().put("name", app).set("instance", instances));
    return root;
  }

  /** The number of instances of each status, as Eureka's hash: "DOWN_1_UP_7_". */
  private String hash(final Predicate<JsonNode> wanted) {
    final Map<String, Integer> counts = new TreeMap<>();
    apps.values()
        .forEach(
            leases ->
                leases
                    .values()
                    .forEach(
                        lease -> {
                          if (wanted.test(lease.instance())) {
                            counts.merge(lease.instance().path("status").asText(), 1, Integer::sum);
                          }
                        }));
    final StringBuilder hash = new StringBuilder();
    counts.forEach((status, count) -> hash.append(status).append('_').append(count).append('_'));
    return hash.toString();
  }

  private synchronized void serve(final HttpExchange exchange) {
    final String path = exchange.path();
    if (!path.startsWith(BASE + "/")) {
      exchange.answer(404, "");
      return;
    }
    final String[] parts = path.substring(BASE.length() + 1).split("/");
    requests.merge(exchange.method() + " " + operation(parts), 1, Integer::sum);
    if (exchange.method().equals("GET")) {
      answerQuery(exchange, parts);
    } else {
      handleChange(exchange, parts);
    }
  }

  private static String operation(final String[] parts) {
    final boolean delta = parts.length == 2 && parts[1].equals("delta");
    return parts[0]
        + (delta
            ? "/delta"
            : parts.length == 2
                ? "/{app}"
                : parts.length == 3
                    ? "/{app}/{id}"
                    : parts.length > 3 ? "/{app}/{id}/" + parts[3] : "");
  }

  private void answerQuery(final HttpExchange exchange, final String[] parts) {
    switch (fault) {
      case HUNG -> {}
      case UNAVAILABLE -> exchange.answer(503, "");
      case NOISE -> exchange.raw(noise());
      case NOT_JSON ->
          exchange.answer(200, "<html>proxy</html>", "Content-Type", "application/json");
      case TRUNCATED -> cut(exchange, queryResult(parts));
      case HUGE -> huge(exchange);
      case EMPTY ->
          answerJson(
              exchange,
              "{\"applications\":{\"versions__delta\":\"1\",\"apps__hashcode\":\"\","
                  + "\"application\":[]}}");
      case STALE -> answerJson(exchange, snapshot);
      default -> {
        final String answer = queryResult(parts);
        if (answer == null) {
          exchange.answer(404, "");
        } else {
          answerJson(exchange, answer);
        }
      }
    }
  }

  private void answerJson(final HttpExchange exchange, final String json) {
    final Runnable listener = onAnswerWritten;
    exchange
        .answer(200, json, "Content-Type", "application/json")
        .addListener(
            written -> {
              if (written.isSuccess()) {
                listener.run();
              }
            });
  }

  private static byte[] noise() {
    final byte[] bytes = new byte[4096];
    new java.util.Random(7).nextBytes(bytes);
    return bytes;
  }

  private static void cut(final HttpExchange exchange, final String json) {
    exchange.begin(200);
    exchange
        .chunk(json.substring(0, json.length() / 2))
        .addListener(written -> exchange.channel().close());
  }

  /** Sends a gigabyte of well-formed instances, at the pace at which it is read. */
  private static void huge(final HttpExchange exchange) {
    exchange.begin(200);
    exchange.chunk(
        "{\"applications\":{\"application\":[{\"name\":\"X\",\"instance\":[{\"app\":\"X\"}");
    final String filler = ",{\"app\":\"X\"}".repeat(HUGE_CHUNK_BYTES / 12);
    writeMore(exchange, filler, HUGE_BYTES);
  }

  private static void writeMore(final HttpExchange exchange, final String filler, final long left) {
    final ChannelFuture written = exchange.chunk(filler);
    written.addListener(
        done -> {
          if (done.isSuccess() && left > 0) {
            writeMore(exchange, filler, left - filler.length());
          }
        });
  }

  /** The JSON that answers a query; null if there is no such resource. */
  private String queryResult(final String[] parts) {
    if (parts[0].equals("apps") && parts.length == 1) {
      return applicationsJson(false, unused -> true).toString();
    }
    if (parts[0].equals("apps") && parts.length == 2 && parts[1].equals("delta")) {
      return refusesDeltas ? null : applicationsJson(true, unused -> true).toString();
    }
    if (parts[0].equals("apps") && parts.length == 2) {
      final Map<String, Lease> leases = apps.get(parts[1].toUpperCase(Locale.ROOT));
      if (leases == null) {
        return null;
      }
      final ObjectNode root = JSON.createObjectNode();
      final ArrayNode instances =
          root.putObject("application")
              .put("name", parts[1].toUpperCase(Locale.ROOT))
              .putArray("instance");
      leases.values().forEach(lease -> instances.add(lease.instance()));
      return root.toString();
    }
    if (parts[0].equals("vips") || parts[0].equals("svips")) {
      final String field = parts[0].equals("vips") ? "vipAddress" : "secureVipAddress";
      return applicationsJson(
              false,
              instance -> List.of(instance.path(field).asText().split(",")).contains(parts[1]))
          .toString();
    }
    final JsonNode one =
        parts[0].equals("instances") && parts.length == 2
            ? findById(parts[1])
            : parts.length == 3 ? entry(parts[1], parts[2]) : null;
    return one == null ? null : JSON.createObjectNode().set("instance", one).toString();
  }

  private JsonNode findById(final String id) {
    for (final Map<String, Lease> leases : apps.values()) {
      final Iterator<Lease> same =
          leases.values().stream().filter(lease -> id(lease.instance()).equals(id)).iterator();
      if (same.hasNext()) {
        return same.next().instance();
      }
    }
    return null;
  }

  private void handleChange(final HttpExchange exchange, final String[] parts) {
    if (fault == Fault.HUNG) {
      return;
    }
    if (!parts[0].equals("apps") || parts.length < 2) {
      exchange.answer(405, "");
    } else if (exchange.method().equals("POST")) {
      post(exchange);
    } else if (parts.length == 3 && exchange.method().equals("PUT")) {
      renew(exchange, parts);
    } else if (parts.length == 3 && exchange.method().equals("DELETE")) {
      exchange.answer(cancel(parts[1], parts[2]) ? 200 : 404, "");
    } else if (parts.length == 4 && parts[3].equals("status")) {
      final boolean put = exchange.method().equals("PUT");
      exchange.answer(
          overrideStatus(parts[1], parts[2], put ? exchange.query("value") : null) ? 200 : 404, "");
    } else if (parts.length == 4
        && parts[3].equals("metadata")
        && exchange.method().equals("PUT")) {
      metadata(exchange, parts);
    } else {
      exchange.answer(405, "");
    }
  }

  private void post(final HttpExchange exchange) {
    if (refusesRenewals) {
      exchange.answer(503, "");
      return;
    }
    try {
      final JsonNode instance =
          JSON.readTree(new String(exchange.body(), StandardCharsets.UTF_8)).path("instance");
      if (!(instance instanceof ObjectNode object)
          || id(instance).isEmpty()
          || !instance.hasNonNull("app")
          || !instance.hasNonNull("dataCenterInfo")) {
        exchange.answer(400, "Missing instance, id, app or dataCenterInfo");
        return;
      }
      register(object);
      exchange.answer(204, "");
    } catch (final IOException e) {
      exchange.answer(400, "");
    }
  }

  private void renew(final HttpExchange exchange, final String[] parts) {
    final Lease lease = find(parts[1], parts[2]);
    if (refusesRenewals) {
      exchange.answer(500, "");
    } else if (lease == null) {
      exchange.answer(404, "");
    } else {
      apps.get(parts[1].toUpperCase(Locale.ROOT)).put(parts[2], lease(lease.instance()));
      exchange.answer(200, "");
    }
  }

  private void metadata(final HttpExchange exchange, final String[] parts) {
    final Lease lease = find(parts[1], parts[2]);
    if (lease == null) {
      exchange.answer(404, "");
      return;
    }
    final ObjectNode changed = lease.instance().deepCopy();
    final String[] pair = exchange.uri().substring(exchange.uri().indexOf('?') + 1).split("=", 2);
    changed.withObjectProperty("metadata").put(pair[0], pair.length > 1 ? pair[1] : "");
    register(changed);
    exchange.answer(200, "");
  }

  @Override
  public void close() {
    server.close();
  }
}
