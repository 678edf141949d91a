package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import thistleturn.courier.handover.EarlierProcesses;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.OutcomeNotifier;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * Implements all ports of a decision loop without a network: a few endpoints are listed, two of
 * three calls to them are delivered in the loop's next iteration, and the others stay in flight.
 */
final class SimulatedEndpoints
    implements DecisionLoop.Ports, Dispatcher, OutcomeNotifier, EndpointDirectory {
  private static final int ENDPOINTS = 6;
  private static final int ENDPOINT_WEIGHT = 60;
  private static final int UNANSWERED_CALL_PERIOD = 3;

  private final CourierConfig config;
  private final EventLoop eventLoop;
  private final Clock clock;
  private final int destinations;
  private Dispatcher.Listener listener;
  private int startedCalls;

  /** Creates endpoints that together serve the given number of destinations. */
  SimulatedEndpoints(
      final CourierConfig config,
      final EventLoop eventLoop,
      final Clock clock,
      final int destinations) {
    this.config = config;
    this.eventLoop = eventLoop;
    this.clock = clock;
    this.destinations = destinations;
  }

  private record SimulatedCall(long endpoint, long preparedUs, List<? extends Attempt> attempts)
      implements Call {}

  @Override
  public Dispatcher dispatcher(final Dispatcher.Listener dispatcherListener) {
    listener = dispatcherListener;
    return this;
  }

  @Override
  public OutcomeNotifier outcomeNotifier(final OutcomeNotifier.Listener notifierListener) {
    return this;
  }

  @Override
  public EarlierProcesses earlierProcesses() {
    return EarlierProcesses.none();
  }

  @Override
  public EndpointDirectory endpointDirectory() {
    return this;
  }

  @Override
  public void afterPoll(final long sinceUs, final Runnable action) {
    action.run();
  }

  @Override
  public void start(final EndpointDirectory.Listener directoryListener) {
    final String kind =
        config.settings().kinds().isEmpty() ? "" : config.settings().kinds().get(0).name();
    final List<Entry> entries = new ArrayList<>();
    for (int number = 0; number < ENDPOINTS; number++) {
      entries.add(
          new Entry(
              "warm-up-" + number,
              EndpointState.LISTED,
              new InetSocketAddress("127.0.0.1", 1),
              config.settings().zone(),
              ENDPOINT_WEIGHT,
              kind,
              number % destinations));
    }
    directoryListener.onUpdate(EndpointUpdate.RESTORED_SNAPSHOT, entries);
  }

  @Override
  public Call prepare(final long endpoint, final List<? extends Attempt> attempts) {
    return new SimulatedCall(endpoint, clock.nowUs(), List.copyOf(attempts));
  }

  @Override
  public void start(final Call call) {
    if (++startedCalls % UNANSWERED_CALL_PERIOD != 0) {
      eventLoop.execute(
          () -> report(call, new DispatchOutcome(AttemptResult.DELIVERED, true, 0, null)));
    }
  }

  @Override
  public void abandon(final Call call, final AttemptResult result) {
    report(call, new DispatchOutcome(result, false, 0, null));
  }

  private void report(final Call call, final DispatchOutcome outcome) {
    ((SimulatedCall) call)
        .attempts()
        .forEach(attempt -> listener.onOutcome(attempt, call, outcome));
  }

  @Override
  public void updateEndpoint(
      final Endpoint endpoint, final boolean separateRoute, final InetSocketAddress address) {
    // Endpoints are not kept.
  }

  @Override
  public void removeEndpoint(final long endpoint) {
    // Endpoints are not kept.
  }

  @Override
  public void abandonUnwrittenCalls(final long endpoint) {
    // Every call that was started counts as written.
  }

  @Override
  public boolean areResponsesSuspect() {
    return false;
  }

  @Override
  public void resolveUnconfirmedAnswers() {
    // Every delivery is certain.
  }

  @Override
  public void closeIdleConnections(final long endpoint) {
    // There are no connections.
  }

  @Override
  public void requestUpdates() {
    // There are no updates.
  }

  @Override
  public boolean isCurrent() {
    return true;
  }

  @Override
  public void enqueue(final StoredMessage message) {
    // No platform is notified.
  }

  @Override
  public void flush() {
    // No platform is notified.
  }

  @Override
  public boolean isEmpty() {
    return true;
  }

  @Override
  public void reload(final CourierConfig fresh) {
    // The configuration is not used again.
  }
}
