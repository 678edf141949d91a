package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.model.AttemptResult;

/** Carries out durable effects: answers clients and starts calls. */
final class EffectExecutor implements DurableEffects.Executor {
  private final Clock clock;
  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final Consumer<PendingDelivery> rejection;

  /** Passes messages that the journal could not record to {@code rejection}. */
  EffectExecutor(
      final Clock clock,
      final EventLoop loop,
      final Dispatcher dispatcher,
      final Consumer<PendingDelivery> rejection) {
    this.clock = clock;
    this.loop = loop;
    this.dispatcher = dispatcher;
    this.rejection = rejection;
  }

  @Override
  public void accept(final PendingDelivery delivery) {
    final Ingress.Reply reply = delivery.takeReply();
    delivery.message().timeline().markAnswered(clock.nowUs());
    reply.accepted();
  }

  @Override
  public void rejectUnjournaled(final PendingDelivery delivery) {
    rejection.accept(delivery);
  }

  @Override
  public void startCall(final Dispatcher.Call call) {
    dispatcher.start(call);
  }

  @Override
  public void dropCall(final Dispatcher.Call call) {
    // A restart would not know of an attempt that the journal does not record.
    loop.execute(() -> dispatcher.abandon(call, AttemptResult.NOT_SENT));
  }
}
