package thistleturn.courier.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import thistleturn.courier.port.Carrier;
import thistleturn.courier.port.Held;

/** Calls as the protocol writes them: one message with its headers, or several in one JSON array. */
final class HttpRequests {
    private static final long US_PER_MS = 1000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private HttpRequests() { }

    /** The request of a call; id, key and body go on unchanged. */
    static FullHttpRequest request(final HttpCall call, final long nowUs) {
        final boolean many = call.parcels.size() > 1;
        final byte[] body = many ? bulk(call) : call.parcels.get(0).held().body();
        final FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                many ? "/inbox/bulk" : "/inbox", Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, call.pool.address.getHostString());
        request.headers().set("X-Timeout-Ms", Math.max(1, (call.deadlineUs - nowUs) / US_PER_MS));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (many) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        } else {
            final Held held = call.parcels.get(0).held();
            request.headers().set("X-Request-ID", held.id());
            if (held.idempotencyKey() != null) {
                request.headers().set("Idempotency-Key", held.idempotencyKey());
            }
        }
        return request;
    }

    private static byte[] bulk(final HttpCall call) {
        final ArrayNode items = JSON.createArrayNode();
        for (final Carrier.Parcel parcel : call.parcels) {
            final Held held = parcel.held();
            final ObjectNode item = items.addObject().put("id", held.id());
            if (held.idempotencyKey() != null) {
                item.put("key", held.idempotencyKey());
            }
            item.put("body", held.body());
        }
        try {
            return JSON.writeValueAsString(items).getBytes(StandardCharsets.UTF_8);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }
}
