package thistleturn.testkit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One request at a stand-in, with the ways to answer it. Times are of {@link System#nanoTime}. */
public record HttpExchange(
    Channel channel,
    String method,
    String uri,
    HttpHeaders headers,
    byte[] body,
    long firstByteNs,
    long lastByteNs) {

  /** The path without its query. */
  public String path() {
    return new QueryStringDecoder(uri).path();
  }

  /** A value of the query; null if there is none. */
  public String query(final String name) {
    final List<String> values = new QueryStringDecoder(uri).parameters().get(name);
    return values == null ? null : values.get(0);
  }

  /** A header's value; null if there is none. */
  public String header(final String name) {
    return headers.get(name);
  }

  /** Sends a complete answer; headers are given as name, value, name, value. */
  public ChannelFuture answer(final int status, final String text, final String... namesAndValues) {
    return answer(status, text.getBytes(StandardCharsets.UTF_8), namesAndValues);
  }

  /** Sends a complete answer; headers are given as name, value, name, value. */
  public ChannelFuture answer(
      final int status, final byte[] bytes, final String... namesAndValues) {
    final var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(bytes));
    for (int index = 0; index < namesAndValues.length; index += 2) {
      response.headers().set(namesAndValues[index], namesAndValues[index + 1]);
    }
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    return channel.writeAndFlush(response);
  }

  /** Begins a chunked answer, which {@link #end} completes. */
  public void begin(final int status) {
    final var response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    HttpUtil.setTransferEncodingChunked(response, true);
    channel.writeAndFlush(response);
  }

  /** Sends a chunk of an answer that was begun. */
  public ChannelFuture chunk(final String text) {
    return channel.writeAndFlush(
        new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
  }

  /** Completes an answer that was begun. */
  public void end() {
    channel.writeAndFlush(new DefaultLastHttpContent());
  }

  /** Writes raw bytes, without HTTP framing. */
  public ChannelFuture raw(final byte[] bytes) {
    if (channel.pipeline().get(HttpServerCodec.class) != null) {
      channel.pipeline().remove(HttpServerCodec.class);
    }
    return channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
  }

  /** Resets the connection. */
  public void reset() {
    HttpStandIn.reset(channel);
  }

  /**
   * Runs an action later, on the connection's event loop. What has arrived on the connection by
   * then is read first, above all its end: a loop that was blocked runs its timers before it polls.
   */
  public void after(final long delayMs, final Runnable action) {
    channel
        .eventLoop()
        .schedule(
            () -> {
              if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe
                  && channel.isOpen()) {
                unsafe.read();
              }
              action.run();
            },
            delayMs,
            TimeUnit.MILLISECONDS);
  }
}
