package thistleturn.courier.http;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import thistleturn.courier.port.Dispatcher;
import thistleturn.decisions.index.TimeHeap;

/** One call: the messages in it, and how far it has come. */
final class HttpCall extends TimeHeap.Entry implements Dispatcher.Call {
  final EndpointConnectionPool pool;
  final long endpoint;
  final long sentUs;

  /**
   * When the time of the first of its messages is up: several in a call share one fate, and it is
   * over for all of them.
   */
  final long validUntilUs;

  /** When it is given up. */
  final long deadlineUs;

  /** Until when all of it may go, us. */
  final long sendBeforeUs;

  final List<Dispatcher.Attempt> parcels;

  /**
   * What falls due for it beside its deadline: the end of a connection's rest, and of the wait for
   * a connection.
   */
  final List<Future<?>> timers = new ArrayList<>(0);

  Channel channel;
  EndpointConnection connection;

  /** How often this machine's own system refused to begin its connection. */
  int localFailures;

  boolean started;
  boolean written;

  HttpCall(
      final EndpointConnectionPool pool,
      final long endpoint,
      final List<? extends Dispatcher.Attempt> parcels,
      final long sentUs) {
    this.pool = pool;
    this.endpoint = endpoint;
    this.parcels = new ArrayList<>(parcels);
    this.sentUs = sentUs;
    this.validUntilUs =
        parcels.stream()
            .mapToLong(Dispatcher.Attempt::messageDeadlineUs)
            .min()
            .orElse(Long.MAX_VALUE);
    this.deadlineUs =
        Math.min(
            validUntilUs,
            sentUs + parcels.stream().mapToLong(Dispatcher.Attempt::timeoutUs).max().orElse(0));
    this.sendBeforeUs =
        parcels.stream().mapToLong(Dispatcher.Attempt::latestSendUs).min().orElse(Long.MAX_VALUE);
  }

  /** Several messages go in one call: its answer tells each one's end. */
  boolean isBulk() {
    return parcels.size() > 1;
  }

  @Override
  public long endpoint() {
    return endpoint;
  }

  @Override
  public long preparedUs() {
    return sentUs;
  }
}
