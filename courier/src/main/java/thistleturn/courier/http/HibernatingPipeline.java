package thistleturn.courier.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import java.util.function.Consumer;

/**
 * The codecs of a client connection, which are installed only while they are needed: without them a
 * large number of idle connections costs little memory.
 */
final class HibernatingPipeline {
  private final ChannelHandlerContext context;
  private final Consumer<ByteBuf> receiveListener;

  /** Null while the connection hibernates, and once no further input is decoded. */
  private RequestDecoder decoder;

  /** Writes encoded bytes; null while the connection hibernates. */
  private ChannelHandlerContext encoderContext;

  /** Bytes received while the wake-up is queued; null otherwise. */
  private ByteBuf deferredBytes;

  /**
   * Creates a pipeline without codecs.
   *
   * @param context the handler of the connection, before which the codecs are installed
   * @param receiveListener notified of all bytes that are received
   */
  HibernatingPipeline(
      final ChannelHandlerContext context, final Consumer<ByteBuf> receiveListener) {
    this.context = context;
    this.receiveListener = receiveListener;
  }

  /** True while the pipeline holds neither codecs nor buffers. */
  boolean isHibernating() {
    return encoderContext == null;
  }

  /** Removes the codecs until bytes are received. */
  void hibernate() {
    encoderContext = null;
    context.pipeline().remove(HttpResponseEncoder.class);
    context.pipeline().remove(HttpServerExpectContinueHandler.class);
    // Last: the decoder forwards the bytes of a partial request, which wakes the connection up.
    removeDecoder();
  }

  /** How many bytes are held of what is not decoded completely. */
  int heldBytes() {
    return decoder == null ? 0 : decoder.heldBytes();
  }

  /** Installs the codecs, and reads the bytes that have been received. */
  void wakeUpWith(final ByteBuf bytes) {
    decoder = new RequestDecoder(receiveListener);
    context
        .pipeline()
        .addFirst(decoder, new HttpResponseEncoder(), new HttpServerExpectContinueHandler());
    encoderContext = context.pipeline().context(HttpResponseEncoder.class);
    context.pipeline().fireChannelRead(bytes);
  }

  /** True while received bytes wait for the queued wake-up. */
  boolean isAwaitingWakeUp() {
    return deferredBytes != null;
  }

  /** Keeps a copy of the bytes until the queued wake-up; nothing more is read until then. */
  void defer(final ByteBuf bytes) {
    context.channel().config().setAutoRead(false);
    final ByteBuf copy = Unpooled.copiedBuffer(bytes);
    deferredBytes = deferredBytes == null ? copy : Unpooled.wrappedBuffer(deferredBytes, copy);
    bytes.release();
  }

  /** Reads the bytes that were kept until now. */
  void wakeUp() {
    final ByteBuf bytes = deferredBytes;
    deferredBytes = null;
    if (context.channel().isActive()) {
      context.channel().config().setAutoRead(true);
      wakeUpWith(bytes);
    } else {
      bytes.release();
    }
  }

  /** Writes a response that is encoded already. */
  ChannelFuture writeEncoded(final ByteBuf response) {
    return encoderContext.writeAndFlush(response);
  }

  /** Decodes no further input. */
  void removeDecoder() {
    if (decoder != null) {
      final RequestDecoder removed = decoder;
      decoder = null;
      if (!context.isRemoved()) {
        context.pipeline().remove(removed);
      }
    }
  }
}
