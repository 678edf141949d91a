package thistleturn.courier.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Json;

/**
 * Encodes calls as HTTP requests: one message with its headers, or several messages in one JSON
 * array.
 */
final class CallRequestEncoder {
  private static final long US_PER_MS = 1000;
  private static final int INITIAL_HEAD_CAPACITY = 256;

  private CallRequestEncoder() {}

  /** Encodes a call; ids, idempotency keys and bodies are forwarded unchanged. */
  static ByteBuf encode(final HttpCall call, final long nowUs) {
    final boolean bulk = call.isBulk();
    final StoredMessage first = call.attempts().get(0).message();
    final byte[] body = bulk ? encodeBulkBody(call) : first.body();
    final StringBuilder head = new StringBuilder(INITIAL_HEAD_CAPACITY);
    head.append(bulk ? "POST /inbox/bulk HTTP/1.1\r\nHost: " : "POST /inbox HTTP/1.1\r\nHost: ");
    head.append(call.pool().address().getHostString())
        .append("\r\nX-Timeout-Ms: ")
        .append(Math.max(1, (call.deadlineUs() - nowUs) / US_PER_MS));
    if (bulk) {
      head.append("\r\nContent-Type: application/json");
    } else {
      head.append("\r\nX-Request-ID: ").append(first.id());
      if (first.idempotencyKey() != null) {
        head.append("\r\nIdempotency-Key: ").append(first.idempotencyKey());
      }
    }
    head.append("\r\nContent-Length: ").append(body.length).append("\r\n\r\n");
    // Each character is one byte, as it was received; one buffer is one write.
    final ByteBuf bytes = Unpooled.buffer(head.length() + body.length);
    bytes.writeCharSequence(head, StandardCharsets.ISO_8859_1);
    return bytes.writeBytes(body);
  }

  private static byte[] encodeBulkBody(final HttpCall call) {
    final ArrayNode items = JsonNodeFactory.instance.arrayNode();
    for (final Dispatcher.Attempt attempt : call.attempts()) {
      final StoredMessage message = attempt.message();
      final ObjectNode item = items.addObject().put("id", message.id());
      if (message.idempotencyKey() != null) {
        item.put("key", message.idempotencyKey());
      }
      item.put("body", message.body());
    }
    return Json.toText(items).getBytes(StandardCharsets.UTF_8);
  }
}
