package thistleturn.courier.handover;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import thistleturn.courier.runtime.Json;
import thistleturn.courier.transport.CompactCumulator;
import thistleturn.courier.transport.ConnectionFailures;

/**
 * One end of the connection between the two processes. Frames, reads and writes lines; a line that
 * cannot be read closes the connection. Used on the event loop of its channel.
 */
abstract class LineConnection extends SimpleChannelInboundHandler<ByteBuf> {
  private static final String SOCKET_NAME = "handover";

  /** A message's body has 64 KiB at most, and is a third longer in Base64. */
  private static final int MAX_LINE_BYTES = 1 << 18;

  private ChannelHandlerContext context;

  /** Returns where a process with this state folder listens for its successor. */
  static UnixDomainSocketAddress socketAddress(final Path stateFolder) {
    return UnixDomainSocketAddress.of(stateFolder.resolve(SOCKET_NAME));
  }

  /**
   * Called when a line was received.
   *
   * @throws IOException if the line cannot be read; then the connection is closed
   */
  abstract void onLine(JsonNode line) throws IOException;

  /** Called once, when the connection has closed or could not be established. */
  abstract void onClosed();

  /** Makes this the handler of a new channel. */
  final void addTo(final Channel channel) {
    final LineBasedFrameDecoder lines = new LineBasedFrameDecoder(MAX_LINE_BYTES);
    lines.setCumulator(CompactCumulator.INSTANCE);
    channel.pipeline().addLast(lines, this);
  }

  /** Sends a line at once. */
  final void send(final HandoverLine line) {
    write(line);
    flush();
  }

  /** Writes a line that the next {@link #flush} sends. */
  final void write(final HandoverLine line) {
    context.write(Unpooled.copiedBuffer(line.toText() + "\n", StandardCharsets.UTF_8));
  }

  /** Sends what was written. */
  final void flush() {
    context.flush();
  }

  /** Closes the connection. */
  final void close() {
    context.close();
  }

  @Override
  public final void handlerAdded(final ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  protected final void channelRead0(final ChannelHandlerContext ctx, final ByteBuf bytes)
      throws IOException {
    onLine(Json.read(bytes.toString(StandardCharsets.UTF_8)));
  }

  @Override
  public final void channelInactive(final ChannelHandlerContext ctx) {
    onClosed();
  }

  @Override
  public final void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
    ConnectionFailures.report("handover", cause);
    ctx.close();
  }
}
