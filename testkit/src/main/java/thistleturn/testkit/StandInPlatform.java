package thistleturn.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** The platform: the list of endpoints, the watch on it, and the receiver of outcome notices. */
public final class StandInPlatform implements AutoCloseable {
  private static final long HEARTBEAT_MS = 2000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final RuleChecker ruleChecker;
  private final MonotonicClock clock;
  private final HttpStandIn server;
  private final Map<String, ObjectNode> hosts = new LinkedHashMap<>();
  private final List<HttpExchange> watches = new CopyOnWriteArrayList<>();
  private final List<String> changes = new ArrayList<>();
  private long seq = 1;
  private volatile boolean unresponsive;
  private volatile Random noticeResets = new Random(0);
  private volatile double noticeResetShare;

  /** Listens on 127.0.0.1, on a port that the system chooses; its list is empty. */
  public StandInPlatform(
      final EventLoopGroup group, final RuleChecker ruleChecker, final MonotonicClock clock) {
    this.ruleChecker = ruleChecker;
    this.clock = clock;
    this.server = new HttpStandIn(group, new InetSocketAddress("127.0.0.1", 0), this::serve);
  }

  /** The address at which it listens. */
  public String address() {
    return server.address();
  }

  /**
   * While true, requests for the list are not answered and watches get no heartbeats; outcome
   * notices are still accepted.
   */
  public void setUnresponsive(final boolean on) {
    unresponsive = on;
  }

  /** The server; makes it answer twice. */
  public HttpStandIn server() {
    return server;
  }

  /** Resets a share of the connections that bring outcome notices, without reading these. */
  public void resetNotices(final double share, final long seed) {
    noticeResets = new Random(seed);
    noticeResetShare = share;
  }

  /**
   * Sends an earlier change again to all watches, as a network might that delivers it twice.
   *
   * @param before how many changes were sent after it
   */
  public synchronized void repeatChange(final int before) {
    final String line = changes.get(changes.size() - 1 - before);
    watches.forEach(watch -> watch.chunk(line));
  }

  /** True while at least one watch is open. */
  public boolean isWatched() {
    return !watches.isEmpty();
  }

  /** Resets the connections of all watches. */
  public void resetWatches() {
    watches.forEach(HttpExchange::reset);
    watches.clear();
  }

  /** The list in the form in which a courier's configuration holds it. */
  public synchronized String known() {
    return completeList().toString();
  }

  /**
   * Announces an endpoint or a change of its state: {@code Ready}, {@code Terminating} or {@code
   * Gone}.
   */
  public synchronized void announce(
      final StandInEndpoint endpoint, final String health, final double share) {
    final ObjectNode host =
        JSON.createObjectNode()
            .put("host", endpoint.name())
            .put("dial", endpoint.address())
            .put("site", "a")
            .put("class", "std")
            .put("block", endpoint.destination())
            .put("health", health)
            .put("share", share)
            .put("born_ms", 0);
    if (health.equals("Gone")) {
      hosts.remove(endpoint.name());
    } else {
      hosts.put(endpoint.name(), host);
    }
    seq++;
    final ObjectNode change = JSON.createObjectNode().put("seq", seq).put("whole", false);
    change.putArray("hosts").add(host);
    if (health.equals("Ready")) {
      ruleChecker.recordReady(endpoint.name());
    }
    changes.add(change + "\n");
    for (final HttpExchange watch : watches) {
      watch
          .chunk(change + "\n")
          .addListener(
              written -> {
                if (written.isSuccess() && !health.equals("Ready")) {
                  ruleChecker.recordDraining(clock.nowUs(), endpoint.name());
                }
              });
    }
  }

  private ObjectNode completeList() {
    final ObjectNode list = JSON.createObjectNode().put("seq", seq).put("whole", true);
    final ArrayNode all = list.putArray("hosts");
    hosts.values().forEach(all::add);
    return list;
  }

  private void serve(final HttpExchange exchange) {
    if (exchange.path().equals("/v1/outcomes")) {
      receiveOutcomes(exchange);
    } else if (unresponsive) {
      return;
    } else if (exchange.query("watch") != null) {
      watch(exchange);
    } else {
      exchange.answer(200, known() + "\n");
    }
  }

  private synchronized void watch(final HttpExchange exchange) {
    exchange.begin(200);
    exchange.chunk(completeList() + "\n");
    watches.add(exchange);
    exchange.channel().closeFuture().addListener(closed -> watches.remove(exchange));
    exchange
        .channel()
        .eventLoop()
        .scheduleWithFixedDelay(
            () -> {
              if (!unresponsive && exchange.channel().isActive()) {
                exchange.chunk("\n");
              }
            },
            HEARTBEAT_MS,
            HEARTBEAT_MS,
            TimeUnit.MILLISECONDS);
  }

  private void receiveOutcomes(final HttpExchange exchange) {
    if (noticeResets.nextDouble() < noticeResetShare) {
      exchange.reset();
      return;
    }
    try {
      for (final String line : new String(exchange.body(), StandardCharsets.UTF_8).split("\n")) {
        final JsonNode notice = JSON.readTree(line);
        ruleChecker.recordOutcomeNotice(
            clock.nowUs(),
            notice.path("id").asText(),
            notice.path("status").asText().equals("deferred"));
      }
      exchange.answer(204, "");
    } catch (final IOException e) {
      exchange.answer(400, "");
    }
  }

  @Override
  public void close() {
    server.close();
  }
}
