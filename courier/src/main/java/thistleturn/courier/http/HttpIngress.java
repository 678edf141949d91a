package thistleturn.courier.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.CourierOptions;
import thistleturn.courier.runtime.DescriptorBudget;
import thistleturn.courier.runtime.GuardedTasks;
import thistleturn.courier.runtime.PollTracker;

/**
 * Receives messages from clients over HTTP. An accepted message is answered in the iteration of the
 * event loop that read it; a request that is invalid is answered with a 4xx status, and nothing is
 * accepted. No request remains without a response.
 */
public final class HttpIngress implements Ingress {
  private static final long SWEEP_INTERVAL_MS = 200;

  private final CourierConfig config;
  private final EventLoop loop;
  private final ClientConnectionManager connections;
  private final ClientListener listener;
  private boolean draining;
  private Future<?> sweepTask;

  /** Creates an ingress that accepts on the group; the loop owns all connections. */
  public HttpIngress(
      final CourierConfig config,
      final EventLoopGroup group,
      final EventLoop loop,
      final Clock clock,
      final PollTracker polls,
      final IngressHandler handler,
      final DescriptorBudget descriptors,
      final CourierOptions options) {
    this.config = config;
    this.loop = loop;
    this.connections =
        new ClientConnectionManager(loop, clock, polls, descriptors, options.clientIdleTimeoutUs());
    final IngressContext context =
        new IngressContext(
            handler,
            new RequestRouter(handler, this::isDraining),
            connections,
            new WakeUpQueue(loop, polls),
            ReceiveBudgets.forClients(options, clock),
            new DecodingBudget(),
            this::isDraining,
            clock,
            polls);
    this.listener = new ClientListener(context, group, loop);
  }

  private boolean isDraining() {
    return draining;
  }

  /** Listens on the configured address; {@code /up} is answered from then on. */
  @Override
  public CompletionStage<String> listen() {
    return listen(config.listenAddress(), false);
  }

  /**
   * Listens on an address.
   *
   * @param reusePort true if other listeners share the address; the system then distributes the
   *     connections
   */
  public CompletionStage<String> listen(final InetSocketAddress address, final boolean reusePort) {
    draining = false;
    if (sweepTask == null) {
      sweepTask =
          loop.scheduleWithFixedDelay(
              GuardedTasks.guard("sweep of client connections", this::sweep),
              SWEEP_INTERVAL_MS,
              SWEEP_INTERVAL_MS,
              TimeUnit.MILLISECONDS);
    }
    return listener.bind(address, reusePort);
  }

  private void sweep() {
    connections.sweep();
    listener.sweep();
  }

  @Override
  public void drain() {
    draining = true;
    connections.closeIdle(connections.snapshot());
  }

  @Override
  public void stopListening() {
    final List<ClientConnection> acceptedBefore = connections.snapshot();
    listener.close();
    connections.closeIdle(acceptedBefore);
  }

  /** Closes idle connections and rejects incomplete requests, shortly before the process ends. */
  @Override
  public void rejectIncompleteRequests() {
    connections.rejectIncomplete();
  }

  /**
   * Leaves new connections to the successor. Existing ones are served until they are closed with
   * their next response; idle ones may still send a request and are not closed.
   */
  public void drainForHandover() {
    draining = true;
    listener.closeForSuccessor();
  }

  @Override
  public boolean hasNoConnections() {
    return connections.isEmpty() && !listener.isClosing();
  }
}
