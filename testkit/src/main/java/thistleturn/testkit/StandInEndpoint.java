package thistleturn.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.netty.channel.EventLoopGroup;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * An endpoint of a destination: it takes calls as the protocol says, handles each as its current
 * {@link Behavior} says, and reports them to the rule checker.
 */
public final class StandInEndpoint implements AutoCloseable {
  private static final int OK = 200;
  private static final int ERROR = 500;
  private static final int BUSY = 429;
  private static final int UNAVAILABLE = 503;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** How many calls a connection has carried. */
  private static final AttributeKey<Integer> CALLS = AttributeKey.valueOf("callsOnConnection");

  private final String name;
  private final long destination;
  private final RuleChecker ruleChecker;
  private final MonotonicClock clock;
  private final AtomicReference<Supplier<Behavior>> behavior =
      new AtomicReference<>(() -> Behavior.deliverAfter(0));
  private final AtomicLong calls = new AtomicLong();
  private final HttpStandIn server;

  /** What the endpoint does with a call. */
  public enum Action {
    /** 200 after the delay. */
    DELIVER,
    /** 500 after the delay. */
    FAIL,
    /** 429 after the delay, with a Retry-After header. */
    REJECT,
    /** 503 after the delay, without a Retry-After header. */
    UNAVAILABLE,
    /** Never answers. */
    NO_ANSWER,
    /** The connection is reset after the delay. */
    RESET
  }

  /**
   * What the endpoint does with a call, after which delay, and the Retry-After that it sends; 0 for
   * none.
   */
  public record Behavior(Action action, long delayMs, long retryAfterMs) {
    /** Answers 200 after the delay. */
    public static Behavior deliverAfter(final long delayMs) {
      return new Behavior(Action.DELIVER, delayMs, 0);
    }

    /** Performs the action without a delay. */
    public static Behavior of(final Action act) {
      return new Behavior(act, 0, 0);
    }
  }

  /** Listens on 127.0.0.1, on a port that the system chooses. */
  public StandInEndpoint(
      final EventLoopGroup group,
      final String name,
      final long destination,
      final RuleChecker ruleChecker,
      final MonotonicClock clock) {
    this.name = name;
    this.destination = destination;
    this.ruleChecker = ruleChecker;
    this.clock = clock;
    ruleChecker.registerEndpoint(name, destination);
    this.server = new HttpStandIn(group, new InetSocketAddress("127.0.0.1", 0), this::serve);
  }

  /** The name by which the rule checker knows it. */
  public String name() {
    return name;
  }

  /** The number of its destination. */
  public long destination() {
    return destination;
  }

  /** The address at which it listens. */
  public String address() {
    return server.address();
  }

  /** The port at which it listens. */
  public int port() {
    return server.port();
  }

  /** The number of calls received so far. */
  public long calls() {
    return calls.get();
  }

  /** The server; stops it, or makes it reset connections, read slowly or answer twice. */
  public HttpStandIn server() {
    return server;
  }

  /** Sets what it does with calls from the next one on. */
  public void setBehavior(final Behavior next) {
    setBehaviors(() -> next);
  }

  /** Sets what chooses for each call, from the next one on, what it does with it. */
  public void setBehaviors(final Supplier<Behavior> choice) {
    behavior.set(choice);
  }

  /** Sends some responses on new connections twice from now on; null ends that. */
  public void copyResponses(final ResponseCopier copier) {
    server.copyResponses(copier, ruleChecker::recordCopiedResponse);
  }

  @Override
  public void close() {
    server.close();
  }

  private void serve(final HttpExchange exchange) {
    final boolean bulk = exchange.path().equals("/inbox/bulk");
    final List<String> ids = new ArrayList<>();
    try {
      if (bulk) {
        for (final JsonNode item : JSON.readTree(exchange.body())) {
          ids.add(item.path("id").asText());
        }
      } else if (exchange.path().equals("/inbox")) {
        ids.add(exchange.header("X-Request-ID"));
      }
    } catch (final IOException e) {
      ids.clear();
    }
    if (ids.isEmpty()) {
      exchange.answer(400, "");
      return;
    }
    final long beganUs = clock.ofNs(exchange.firstByteNs());
    ruleChecker.recordCall(beganUs, name, ids, () -> SocketTable.remoteSide(exchange.channel()));
    calls.incrementAndGet();
    final Call call = new Call(exchange, ids, bulk, beganUs);
    // The end of the connection ends the call, whatever else happens to it.
    exchange
        .channel()
        .closeFuture()
        .addListener(closed -> call.end(RuleChecker.CallResult.CONNECTION_LOST));
    final Behavior current = behavior.get().get();
    if (current.action() == Action.NO_ANSWER) {
      return;
    }
    if (current.delayMs() == 0) {
      call.perform(current);
    } else {
      exchange.after(current.delayMs(), () -> call.perform(current));
    }
  }

  /** One call; only its first end counts. */
  private final class Call {
    private final HttpExchange exchange;
    private final List<String> ids;
    private final boolean bulk;
    private final long beganUs;
    private final boolean reusedConnection;
    private boolean ended;

    Call(
        final HttpExchange exchange,
        final List<String> ids,
        final boolean bulk,
        final long beganUs) {
      this.exchange = exchange;
      this.ids = ids;
      this.bulk = bulk;
      this.beganUs = beganUs;
      final Integer earlier = exchange.channel().attr(CALLS).get();
      this.reusedConnection = earlier != null;
      exchange.channel().attr(CALLS).set(earlier == null ? 1 : earlier + 1);
    }

    void end(final RuleChecker.CallResult result) {
      if (!ended) {
        ended = true;
        ids.forEach(id -> ruleChecker.recordCallEnd(clock.nowUs(), beganUs, id, result));
      }
    }

    void perform(final Behavior current) {
      if (ended) {
        return;
      }
      switch (current.action()) {
        case DELIVER -> {
          end(RuleChecker.CallResult.DELIVERED);
          if (reusedConnection) {
            ids.forEach(ruleChecker::recordAnswerOnReusedConnection);
          }
          exchange.answer(OK, bulk ? bulkAnswer() : "");
        }
        case FAIL -> {
          end(RuleChecker.CallResult.ERROR);
          exchange.answer(ERROR, "");
        }
        case REJECT -> {
          end(RuleChecker.CallResult.REJECTED);
          if (current.retryAfterMs() > 0) {
            ruleChecker.recordRetryAfter(clock.nowUs(), destination, current.retryAfterMs() * 1000);
            exchange.answer(
                BUSY, "", "Retry-After", Double.toString(current.retryAfterMs() / 1000.0));
          } else {
            exchange.answer(BUSY, "");
          }
        }
        case UNAVAILABLE -> {
          end(RuleChecker.CallResult.REJECTED);
          exchange.answer(UNAVAILABLE, "");
        }
        case RESET -> exchange.reset();
        default -> throw new IllegalStateException("NO_ANSWER has nothing to perform");
      }
    }

    private String bulkAnswer() {
      final ArrayNode items = JSON.createArrayNode();
      ids.forEach(id -> items.addObject().put("id", id).put("state", "accepted"));
      return items.toString();
    }
  }
}
