package thistleturn.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A partner's endpoint: it takes calls as the protocol says, fares with them by its script, and
 * tells the Auditor.
 */
public final class StandInEndpoint implements AutoCloseable {
  private static final int OK = 200;
  private static final int ERROR = 500;
  private static final int BUSY = 429;
  private static final int UNAVAILABLE = 503;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String name;
  private final long destination;
  private final RuleChecker auditor;
  private final MonotonicClock ticks;
  private final AtomicReference<Behavior> manner = new AtomicReference<>(Behavior.deliverAfter(0));
  private final AtomicLong calls = new AtomicLong();
  private final HttpStandIn server;

  /** What it does with a call. */
  public enum Action {
    /** 200 after the delay. */
    DELIVER,
    /** 500 after the delay. */
    FAIL,
    /** 429 after the delay, with the wait. */
    REJECT,
    /** 503 after the delay, without a wait. */
    UNAVAILABLE,
    /** No answer, ever. */
    NO_ANSWER,
    /** The connection is reset after the delay. */
    RESET
  }

  /** How it fares with calls: what it does, after which delay, and the wait that it tells. */
  public record Behavior(Action action, long delayMs, long retryAfterMs) {
    /** Delivers after a delay. */
    public static Behavior deliverAfter(final long delayMs) {
      return new Behavior(Action.DELIVER, delayMs, 0);
    }

    /** Does something else at once. */
    public static Behavior of(final Action act) {
      return new Behavior(act, 0, 0);
    }
  }

  /** Listens on 127.0.0.1, on a port of the system's choice. */
  public StandInEndpoint(
      final EventLoopGroup group,
      final String name,
      final long destination,
      final RuleChecker auditor,
      final MonotonicClock ticks) {
    this.name = name;
    this.destination = destination;
    this.auditor = auditor;
    this.ticks = ticks;
    auditor.registerEndpoint(name, destination);
    this.server = new HttpStandIn(group, new InetSocketAddress("127.0.0.1", 0), this::serve);
  }

  /** The name by which the Auditor knows it. */
  public String name() {
    return name;
  }

  /** Its destination's number. */
  public long destination() {
    return destination;
  }

  /** Where it listens. */
  public String address() {
    return server.address();
  }

  /** Its port. */
  public int port() {
    return server.port();
  }

  /** Calls that have come so far. */
  public long calls() {
    return calls.get();
  }

  /** The server, to bring it down or make it reset or read slowly. */
  public HttpStandIn server() {
    return server;
  }

  /** From the next call on it fares like this. */
  public void setBehavior(final Behavior next) {
    manner.set(next);
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
    final long beganUs = ticks.ofNs(exchange.firstByteNs());
    auditor.recordCall(beganUs, name, ids, () -> SocketTable.remoteSide(exchange.channel()));
    calls.incrementAndGet();
    final Call call = new Call(exchange, ids, bulk, beganUs);
    // Whatever else becomes of it: the end of its connection ends it.
    exchange
        .channel()
        .closeFuture()
        .addListener(closed -> call.end(RuleChecker.CallResult.CONNECTION_LOST));
    final Behavior now = manner.get();
    if (now.action() == Action.NO_ANSWER) {
      return;
    }
    if (now.delayMs() == 0) {
      call.fare(now);
    } else {
      exchange.after(now.delayMs(), () -> call.fare(now));
    }
  }

  /** One call, which ends once. */
  private final class Call {
    private final HttpExchange exchange;
    private final List<String> ids;
    private final boolean bulk;
    private final long beganUs;
    private boolean over;

    Call(
        final HttpExchange exchange,
        final List<String> ids,
        final boolean bulk,
        final long beganUs) {
      this.exchange = exchange;
      this.ids = ids;
      this.bulk = bulk;
      this.beganUs = beganUs;
    }

    void end(final RuleChecker.CallResult how) {
      if (!over) {
        over = true;
        ids.forEach(id -> auditor.recordCallEnd(ticks.nowUs(), beganUs, id, how));
      }
    }

    void fare(final Behavior now) {
      if (over) {
        return;
      }
      switch (now.action()) {
        case DELIVER -> {
          end(RuleChecker.CallResult.DELIVERED);
          exchange.answer(OK, bulk ? accepted() : "");
        }
        case FAIL -> {
          end(RuleChecker.CallResult.ERROR);
          exchange.answer(ERROR, "");
        }
        case REJECT -> {
          end(RuleChecker.CallResult.REJECTED);
          if (now.retryAfterMs() > 0) {
            auditor.recordRetryAfter(ticks.nowUs(), destination, now.retryAfterMs() * 1000);
            exchange.answer(BUSY, "", "Retry-After", Double.toString(now.retryAfterMs() / 1000.0));
          } else {
            exchange.answer(BUSY, "");
          }
        }
        case UNAVAILABLE -> {
          end(RuleChecker.CallResult.REJECTED);
          exchange.answer(UNAVAILABLE, "");
        }
        case RESET -> exchange.reset();
        default -> throw new IllegalStateException("silence does nothing");
      }
    }

    private String accepted() {
      final ArrayNode items = JSON.createArrayNode();
      ids.forEach(id -> items.addObject().put("id", id).put("state", "accepted"));
      return items.toString();
    }
  }
}
