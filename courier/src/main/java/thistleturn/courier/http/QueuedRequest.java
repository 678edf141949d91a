package thistleturn.courier.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A complete request that waits until the earlier ones of its connection are answered.
 *
 * @param receivedUs the earliest time at which the request may have reached this machine
 * @param firstByteUs when its first byte was read
 * @param completedUs when its last byte was read
 */
record QueuedRequest(
    HttpRequest head, byte[] body, long receivedUs, long firstByteUs, long completedUs) {

  /** About how much memory the request takes. */
  int heldBytes() {
    return LimitedHeaders.heldBytes(head) + body.length;
  }

  /** The path of the request target, without its query. */
  String path() {
    final String target = head.uri();
    final int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** True if the client wants to keep the connection open after the response. */
  boolean isKeepAlive() {
    return HttpUtil.isKeepAlive(head);
  }
}
