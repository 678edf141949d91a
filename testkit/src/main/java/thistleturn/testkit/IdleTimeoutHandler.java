package thistleturn.testkit;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.concurrent.TimeUnit;

/** Closes a server's connection that has carried no request for some time since a response. */
final class IdleTimeoutHandler extends ChannelDuplexHandler {
  private final long idleTimeoutMs;
  private int requests;
  private int responses;

  /** Creates the handler of one connection; 0 keeps it open. */
  IdleTimeoutHandler(final long idleTimeoutMs) {
    this.idleTimeoutMs = idleTimeoutMs;
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object part) {
    if (part instanceof FullHttpRequest) {
      requests++;
    }
    context.fireChannelRead(part);
  }

  @Override
  public void write(
      final ChannelHandlerContext context, final Object part, final ChannelPromise promise) {
    if (part instanceof FullHttpResponse && idleTimeoutMs > 0) {
      responses++;
      final int answered = requests;
      context
          .executor()
          .schedule(() -> closeIfIdle(context, answered), idleTimeoutMs, TimeUnit.MILLISECONDS);
    }
    context.write(part, promise);
  }

  private void closeIfIdle(final ChannelHandlerContext context, final int answered) {
    if (requests == answered && responses >= requests) {
      context.close();
    }
  }
}
