package thistleturn.courier.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listener whose connections are {@link RetryingSocketChannel}s. */
public final class RetryingServerSocketChannel extends NioServerSocketChannel {
  /** One of its own. */
  public RetryingServerSocketChannel() {
    super();
  }

  /** One over a socket that is there. */
  public RetryingServerSocketChannel(final ServerSocketChannel socket) {
    super(socket);
  }

  @Override
  protected int doReadMessages(final List<Object> accepted) throws Exception {
    final SocketChannel next = javaChannel().accept();
    if (next == null) {
      return 0;
    }
    accepted.add(new RetryingSocketChannel(this, next));
    return 1;
  }
}
