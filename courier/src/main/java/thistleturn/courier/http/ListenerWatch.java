package thistleturn.courier.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.PollTracker;
import thistleturn.courier.transport.DirectRead;

/**
 * Detects that the selector does not report a listener's connections (epoll_ctl failed, and Java
 * ignores that), accepts them directly, and registers the listener with the selector again. Used on
 * the event loop of the ingress only.
 */
final class ListenerWatch {
  /** Short, since a client waits only 400 ms for its response. */
  private static final long DIRECT_ACCEPT_INTERVAL_MS = 10;

  /** Consecutive direct accepts without a connection, after which direct accepting stops. */
  private static final int MAX_EMPTY_ACCEPTS = 100;

  private final Clock clock;
  private final PollTracker polls;
  private final EventLoop loop;
  private final Channel listener;
  private final AcceptHandler acceptHandler;

  /** The number of connections accepted at the last check. */
  private long acceptedBefore;

  /** True while connections are accepted at short intervals. */
  private boolean acceptingDirectly;

  private int emptyAccepts;

  ListenerWatch(
      final IngressContext ingress,
      final EventLoop loop,
      final Channel listener,
      final AcceptHandler acceptHandler) {
    this.clock = ingress.clock();
    this.polls = ingress.polls();
    this.loop = loop;
    this.listener = listener;
    this.acceptHandler = acceptHandler;
  }

  /**
   * Accepts waiting connections. If any waited although none was reported since the last sweep, the
   * selector probably does not watch the listener. If one has only just arrived, registering the
   * listener again does no harm.
   */
  void sweep() {
    if (acceptingDirectly || !mayAccept()) {
      return;
    }
    final boolean anyReported = acceptHandler.acceptedCount() > acceptedBefore;
    final boolean anyWaited = acceptOnce();
    if (anyWaited && !anyReported) {
      Log.event(Event.LISTENER_UNWATCHED, "at", listener.localAddress());
      acceptingDirectly = true;
      emptyAccepts = 0;
      acceptAllAndReregister();
    }
    acceptedBefore = acceptHandler.acceptedCount();
  }

  private boolean mayAccept() {
    return listener.isActive() && listener.isRegistered() && listener.config().isAutoRead();
  }

  /** Accepts up to as many connections as one poll would; returns whether there were any. */
  private boolean acceptOnce() {
    final long before = acceptHandler.acceptedCount();
    DirectRead.readOnce(listener);
    return acceptHandler.acceptedCount() > before;
  }

  private void acceptAllAndReregister() {
    while (mayAccept() && acceptOnce()) {
      emptyAccepts = 0;
    }
    reregister();
    loop.schedule(this::acceptAgain, DIRECT_ACCEPT_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Removes the listener from the selector, and adds it again after a poll has applied that. */
  private void reregister() {
    listener.config().setAutoRead(false);
    polls.runAfterPoll(loop, clock.nowUs(), () -> listener.config().setAutoRead(true));
  }

  private void acceptAgain() {
    if (!listener.isActive() || !listener.isRegistered()) {
      return;
    }
    final boolean anyReported = acceptHandler.acceptedCount() > acceptedBefore;
    emptyAccepts++;
    if (anyReported || emptyAccepts > MAX_EMPTY_ACCEPTS) {
      acceptingDirectly = false;
      return;
    }
    if (mayAccept() && acceptOnce()) {
      acceptAllAndReregister();
    } else {
      loop.schedule(this::acceptAgain, DIRECT_ACCEPT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
    acceptedBefore = acceptHandler.acceptedCount();
  }
}
