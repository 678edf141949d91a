package thistleturn.courier.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.EncoderException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import thistleturn.courier.runtime.Log;

final class ConnectionFailuresTest {
  private static OutOfMemoryError directMemoryShortage() {
    return new OutOfMemoryError(
        "Cannot reserve 65536 bytes of direct buffer memory (allocated: 16728616, limit: 16777216)");
  }

  /** Guards against a process that ends since one connection got no buffer. */
  @Test
  void directMemoryShortage_isCountedAndEndsNoProcess() {
    ConnectionFailures.report("test", directMemoryShortage());
    ConnectionFailures.report("test", new EncoderException(directMemoryShortage()));
    assertTrue(
        Log.prometheusCounters().contains("courier_events_total{event=\"buffer_shortage\"} 2\n"));
  }

  /** Plain twin: other errors are no shortage of buffers, and still end the process. */
  @Test
  void otherErrors_areNoShortage() {
    assertFalse(ConnectionFailures.isBufferShortage(new OutOfMemoryError("Java heap space")));
    assertFalse(ConnectionFailures.isBufferShortage(new OutOfMemoryError()));
    assertFalse(
        ConnectionFailures.isBufferShortage(new StackOverflowError("direct buffer memory")));
    assertFalse(ConnectionFailures.isBufferShortage(new IOException("direct buffer memory")));
  }

  /** Guards against a decoder that keeps the buffer of a read for a few bytes of it. */
  @Test
  void undecodedBytes_areKeptOnTheHeapInTheirSize() {
    final ByteBuf received = Unpooled.directBuffer(1 << 14);
    received.writeCharSequence("xxabc", StandardCharsets.US_ASCII);
    received.skipBytes(2);
    final ByteBuf kept =
        CompactCumulator.INSTANCE.cumulate(
            ByteBufAllocator.DEFAULT,
            Unpooled.copiedBuffer("12", StandardCharsets.US_ASCII),
            received);
    assertEquals("12abc", kept.toString(StandardCharsets.US_ASCII));
    assertEquals(5, kept.capacity());
    assertTrue(kept.hasArray());
    assertEquals(0, received.refCnt());
    kept.skipBytes(3);
    CompactCumulator.trim(kept);
    assertEquals("bc", kept.toString(StandardCharsets.US_ASCII));
    assertEquals(2, kept.capacity());
  }
}
