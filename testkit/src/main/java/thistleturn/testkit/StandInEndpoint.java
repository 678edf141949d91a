package thistleturn.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * An endpoint of a destination: it takes calls as the protocol says, handles each as its current
 * {@link Behavior} says, and reports them to the rule checker.
 */
public final class StandInEndpoint implements AutoCloseable {
  private static final long US_PER_MS = 1000;
  private static final double MS_PER_S = 1000.0;
  private static final int OK = 200;
  private static final int ERROR = 500;
  private static final int BUSY = 429;
  private static final int UNAVAILABLE = 503;
  private static final int GONE = 410;
  private static final int NO_MORE = 504;

  /** Some of a body of which the head announces more. */
  private static final String UNFINISHED_BODY = "Content-Length: 20\r\n\r\nwithdr";

  private static final String UNFINISHED_HEAD = "X-Trace: 9b1f03";
  private static final String INVALID_HEAD = "\u0000\u0013 Content-Le\u0001ngth\r\n: 0\r\n\r\n";

  /** A complete response, and bytes that do not belong to it. */
  private static final byte[] TOO_LONG_DELIVERY =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more".getBytes(StandardCharsets.US_ASCII);

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
    /** 410 after the delay; {@code expired} for some messages of a call with several. */
    GONE,
    /** The same; the connection ends within the body of the 410. */
    GONE_INCOMPLETE,
    /** The same; the body of the 410 does not come to its end, and the connection stays open. */
    GONE_UNFINISHED,
    /** The same; the head of the 410 does not come to its end, and the connection stays open. */
    GONE_UNFINISHED_HEAD,
    /** The same; behind its status the 410 cannot be read, and the connection stays open. */
    GONE_INVALID,
    /** 504 after the delay; {@code no_more} for some messages of a call with several. */
    NO_MORE_ATTEMPTS,
    /** The same; the body of the 504 does not come to its end, and the connection stays open. */
    NO_MORE_ATTEMPTS_UNFINISHED,
    /** The same; behind its status the 504 cannot be read, and the connection stays open. */
    NO_MORE_ATTEMPTS_INVALID,
    /** 200 after the delay, with more bytes than its length says. */
    DELIVER_TOO_LONG,
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
      endEach(id -> result);
    }

    private void endEach(final Function<String, RuleChecker.CallResult> resultOf) {
      if (!ended) {
        ended = true;
        ids.forEach(id -> recordEnd(id, resultOf.apply(id)));
      }
    }

    private void recordEnd(final String id, final RuleChecker.CallResult result) {
      if (reusedConnection && result.endsMessage()) {
        ruleChecker.recordAnswerOnReusedConnection(id);
      }
      ruleChecker.recordCallEnd(clock.nowUs(), beganUs, id, result);
    }

    /** An endpoint that has ended a message answers each later call of it in the same way. */
    private Action actionOf(final Behavior current) {
      final RuleChecker.CallResult earlier = bulk ? null : ruleChecker.statedEnd(ids.get(0));
      if (earlier == null || current.action() == Action.RESET) {
        return current.action();
      }
      return earlier == RuleChecker.CallResult.GONE ? Action.GONE : Action.NO_MORE_ATTEMPTS;
    }

    void perform(final Behavior current) {
      if (ended) {
        return;
      }
      switch (actionOf(current)) {
        case DELIVER -> answerEach(RuleChecker.CallResult.DELIVERED, OK);
        case GONE -> answerEach(RuleChecker.CallResult.GONE, GONE);
        case NO_MORE_ATTEMPTS -> answerEach(RuleChecker.CallResult.NO_MORE_ATTEMPTS, NO_MORE);
        case GONE_INCOMPLETE ->
            closeWithin(breakOff(RuleChecker.CallResult.GONE, GONE, UNFINISHED_BODY));
        case GONE_UNFINISHED -> breakOff(RuleChecker.CallResult.GONE, GONE, UNFINISHED_BODY);
        case GONE_UNFINISHED_HEAD -> breakOff(RuleChecker.CallResult.GONE, GONE, UNFINISHED_HEAD);
        case GONE_INVALID -> breakOff(RuleChecker.CallResult.GONE, GONE, INVALID_HEAD);
        case NO_MORE_ATTEMPTS_UNFINISHED ->
            breakOff(RuleChecker.CallResult.NO_MORE_ATTEMPTS, NO_MORE, UNFINISHED_BODY);
        case NO_MORE_ATTEMPTS_INVALID ->
            breakOff(RuleChecker.CallResult.NO_MORE_ATTEMPTS, NO_MORE, INVALID_HEAD);
        case DELIVER_TOO_LONG -> deliverTooLong();
        case FAIL -> refuse(RuleChecker.CallResult.ERROR, ERROR);
        case REJECT -> reject(current.retryAfterMs());
        case UNAVAILABLE -> refuse(RuleChecker.CallResult.REJECTED, UNAVAILABLE);
        case RESET -> exchange.reset();
        default -> throw new IllegalStateException("NO_ANSWER has nothing to perform");
      }
    }

    private void refuse(final RuleChecker.CallResult result, final int status) {
      end(result);
      exchange.answer(status, "");
    }

    private void reject(final long retryAfterMs) {
      if (retryAfterMs == 0) {
        refuse(RuleChecker.CallResult.REJECTED, BUSY);
        return;
      }
      end(RuleChecker.CallResult.REJECTED);
      ruleChecker.recordRetryAfter(clock.nowUs(), destination, retryAfterMs * US_PER_MS);
      exchange.answer(BUSY, "", "Retry-After", Double.toString(retryAfterMs / MS_PER_S));
    }

    private void deliverTooLong() {
      if (bulk) {
        answerEach(RuleChecker.CallResult.DELIVERED, OK);
        return;
      }
      end(RuleChecker.CallResult.DELIVERED);
      exchange.raw(TOO_LONG_DELIVERY);
    }

    /**
     * Closes the connection behind the part of an answer.
     *
     * @param written null if the answer was complete
     */
    private void closeWithin(final ChannelFuture written) {
      if (written != null) {
        written.addListener(done -> exchange.channel().close());
      }
    }

    /**
     * Answers a call with one message by a status and what follows its line; one with several
     * completely.
     *
     * @return null for a call with several messages
     */
    private ChannelFuture breakOff(
        final RuleChecker.CallResult result, final int status, final String rest) {
      if (bulk) {
        answerEach(result, status);
        return null;
      }
      end(result);
      final String answer = "HTTP/1.1 " + status + " X\r\n" + rest;
      return exchange.raw(answer.getBytes(StandardCharsets.US_ASCII));
    }

    /** Answers a call with one message by a status, and one with several by a state for each. */
    private void answerEach(final RuleChecker.CallResult result, final int status) {
      if (!bulk) {
        end(result);
        exchange.answer(status, "");
        return;
      }
      final Map<String, RuleChecker.CallResult> results = bulkResults(result);
      endEach(results::get);
      final ArrayNode items = JSON.createArrayNode();
      results.forEach((id, each) -> items.addObject().put("id", id).put("state", stateOf(each)));
      exchange.answer(OK, items.toString());
    }

    /** Each second answer that ends messages ends the first one of its call alone. */
    private Map<String, RuleChecker.CallResult> bulkResults(final RuleChecker.CallResult result) {
      final boolean firstAlone = calls.get() % 2 == 0;
      final Map<String, RuleChecker.CallResult> results = new LinkedHashMap<>();
      for (final String id : ids) {
        final RuleChecker.CallResult earlier = ruleChecker.statedEnd(id);
        final RuleChecker.CallResult now =
            firstAlone && !results.isEmpty() ? RuleChecker.CallResult.DELIVERED : result;
        results.put(id, earlier == null ? now : earlier);
      }
      return results;
    }

    private static String stateOf(final RuleChecker.CallResult result) {
      return switch (result) {
        case DELIVERED -> "accepted";
        case GONE -> "expired";
        case NO_MORE_ATTEMPTS -> "no_more";
        default -> throw new IllegalArgumentException("no state of a message: " + result);
      };
    }
  }
}
