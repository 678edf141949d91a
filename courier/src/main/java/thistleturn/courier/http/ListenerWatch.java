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
 * Notices that the selector does not report a listener's connections (epoll_ctl failed, and Java
 * ignores that), accepts them all the same, and has the selector watch the listener again. Lives on
 * the event loop of the ingress.
 */
final class ListenerWatch {
  /** A client waits 400 ms for its answer. */
  private static final long DIRECT_ACCEPT_INTERVAL_MS = 10;

  /** Direct accepts in a row that find nothing, after which the selector is trusted again. */
  private static final int MAX_IDLE_ACCEPTS = 100;

  private final Clock clock;
  private final PollTracker polls;
  private final EventLoop loop;
  private final Channel listener;
  private final AcceptHandler acceptHandler;

  /** Connections that the handler had accepted at the last look. */
  private long acceptedBefore;

  /** True while connections are accepted at short intervals. */
  private boolean acceptingDirectly;

  private int idleAccepts;

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
   * Accepts what waits. Connections that wait although none was reported since the last sweep show
   * that the selector does not watch; if one has only just come, having it watched does no harm.
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
      idleAccepts = 0;
      acceptAllAndWatchAgain();
    }
    acceptedBefore = acceptHandler.acceptedCount();
  }

  private boolean mayAccept() {
    return listener.isActive() && listener.isRegistered() && listener.config().isAutoRead();
  }

  /** Accepts as many as in one poll; returns whether there was one. */
  private boolean acceptOnce() {
    final long before = acceptHandler.acceptedCount();
    DirectRead.readOnce(listener);
    return acceptHandler.acceptedCount() > before;
  }

  private void acceptAllAndWatchAgain() {
    while (mayAccept() && acceptOnce()) {
      idleAccepts = 0;
    }
    watchAgain();
    loop.schedule(this::acceptAgain, DIRECT_ACCEPT_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Removes the listener from the selector, and adds it once a poll has carried that out. */
  private void watchAgain() {
    listener.config().setAutoRead(false);
    polls.runAfterPoll(loop, clock.nowUs(), () -> listener.config().setAutoRead(true));
  }

  private void acceptAgain() {
    if (!listener.isActive() || !listener.isRegistered()) {
      return;
    }
    final boolean anyReported = acceptHandler.acceptedCount() > acceptedBefore;
    idleAccepts++;
    if (anyReported || idleAccepts > MAX_IDLE_ACCEPTS) {
      acceptingDirectly = false;
      return;
    }
    if (mayAccept() && acceptOnce()) {
      acceptAllAndWatchAgain();
    } else {
      loop.schedule(this::acceptAgain, DIRECT_ACCEPT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
    acceptedBefore = acceptHandler.acceptedCount();
  }
}
