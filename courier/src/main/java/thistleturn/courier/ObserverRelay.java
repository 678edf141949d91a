package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.io.IOException;
import thistleturn.courier.port.StateObserver;

/** Passes what a shard reports to an observer that lives on the first event loop. */
record ObserverRelay(EventLoop eventLoop, StateObserver observer) implements StateObserver {
  private void relay(final Runnable report) {
    if (eventLoop.inEventLoop()) {
      report.run();
    } else {
      eventLoop.execute(report);
    }
  }

  @Override
  public void onEndpointsListed() {
    relay(observer::onEndpointsListed);
  }

  @Override
  public void onRetryAfter(final long destination, final long untilUs) {
    relay(() -> observer.onRetryAfter(destination, untilUs));
  }

  @Override
  public void onRateLimit(final long destination, final double perSecond) {
    relay(() -> observer.onRateLimit(destination, perSecond));
  }

  @Override
  public void onOutageChanged(final long destination, final boolean isOut) {
    relay(() -> observer.onOutageChanged(destination, isOut));
  }

  @Override
  public void onEndpointDisabled(final String endpoint, final boolean disabled) throws IOException {
    observer.onEndpointDisabled(endpoint, disabled);
  }
}
