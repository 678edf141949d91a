package thistleturn.courier.transport;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A listener that accepts {@link RetryingSocketChannel}s. */
public final class RetryingServerSocketChannel extends NioServerSocketChannel {
  /** Creates a listener with a socket of its own. */
  public RetryingServerSocketChannel() {
    super();
  }

  /** Creates a listener with an existing socket. */
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
