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
 * Calls as the protocol writes them: one message with its headers, or several in one JSON array.
 */
final class CallRequestEncoder {
  private static final long US_PER_MS = 1000;
  private static final int INITIAL_HEAD_CAPACITY = 256;

  private CallRequestEncoder() {}

  /** The bytes of a call's request; id, key and body go on unchanged. */
  static ByteBuf encode(final HttpCall call, final long nowUs) {
    final boolean many = call.isBulk();
    final byte[] body = many ? encodeBulkBody(call) : call.parcels.get(0).message().body();
    final StringBuilder head = new StringBuilder(INITIAL_HEAD_CAPACITY);
    head.append(many ? "POST /inbox/bulk HTTP/1.1\r\nHost: " : "POST /inbox HTTP/1.1\r\nHost: ");
    head.append(call.pool.address.getHostString())
        .append("\r\nX-Timeout-Ms: ")
        .append(Math.max(1, (call.deadlineUs - nowUs) / US_PER_MS));
    if (many) {
      head.append("\r\nContent-Type: application/json");
    } else {
      final StoredMessage held = call.parcels.get(0).message();
      head.append("\r\nX-Request-ID: ").append(held.id());
      if (held.idempotencyKey() != null) {
        head.append("\r\nIdempotency-Key: ").append(held.idempotencyKey());
      }
    }
    head.append("\r\nContent-Length: ").append(body.length).append("\r\n\r\n");
    // Each character is one byte, as it was when it came in; one buffer is one write.
    final ByteBuf bytes = Unpooled.buffer(head.length() + body.length);
    bytes.writeCharSequence(head, StandardCharsets.ISO_8859_1);
    return bytes.writeBytes(body);
  }

  private static byte[] encodeBulkBody(final HttpCall call) {
    final ArrayNode items = JsonNodeFactory.instance.arrayNode();
    for (final Dispatcher.Attempt parcel : call.parcels) {
      final StoredMessage held = parcel.message();
      final ObjectNode item = items.addObject().put("id", held.id());
      if (held.idempotencyKey() != null) {
        item.put("key", held.idempotencyKey());
      }
      item.put("body", held.body());
    }
    return Json.toText(items).getBytes(StandardCharsets.UTF_8);
  }
}
