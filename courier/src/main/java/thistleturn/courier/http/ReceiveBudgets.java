package thistleturn.courier.http;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierOptions;
import thistleturn.courier.runtime.Metrics;

/** Creates the receive budgets of this process from the size of its heap, with their metrics. */
final class ReceiveBudgets {
  /** All clients together may use this part of the heap. */
  private static final int CLIENTS_HEAP_DIVISOR = 8;

  /** All endpoints together may use this part of the heap. */
  private static final int ENDPOINTS_HEAP_DIVISOR = 16;

  private static final String HELD = "courier_receive_buffer_bytes{from=\"%s\"}";
  private static final String LIMIT = "courier_receive_buffer_limit_bytes{from=\"%s\"}";
  private static final String DIRECT = "courier_direct_buffer_bytes";

  private ReceiveBudgets() {}

  /** The budget for the requests of the clients of one shard. */
  static ReceiveBudget forClients(final CourierOptions options, final Clock clock) {
    return create("clients", CLIENTS_HEAP_DIVISOR, options.shardCount(), clock);
  }

  /** The budget for the responses of endpoints to one shard. */
  static ReceiveBudget forEndpoints(final CourierOptions options, final Clock clock) {
    return create("endpoints", ENDPOINTS_HEAP_DIVISOR, options.shardCount(), clock);
  }

  private static ReceiveBudget create(
      final String senders, final int heapDivisor, final int shardCount, final Clock clock) {
    final long processLimitBytes = Runtime.getRuntime().maxMemory() / heapDivisor;
    Metrics.gauge(LIMIT.formatted(senders), () -> processLimitBytes);
    if (ByteBufAllocator.DEFAULT instanceof ByteBufAllocatorMetricProvider allocator) {
      Metrics.gauge(DIRECT, () -> allocator.metric().usedDirectMemory());
    }
    return new ReceiveBudget(
        processLimitBytes / shardCount, clock, Metrics.gauge(HELD.formatted(senders)));
  }
}
