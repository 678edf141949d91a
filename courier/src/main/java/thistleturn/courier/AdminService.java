package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import thistleturn.courier.operator.AdminOperations;
import thistleturn.courier.operator.CourierMetrics;

/** Answers operators' requests on behalf of all shards. Used on the first event loop. */
final class AdminService implements AdminOperations {
  private final Lifecycle lifecycle;
  private final ShardGroup shards;
  private final EventLoop eventLoop;
  private final DirectiveBroadcaster directives;
  private final DisabledEndpointRegistry disabledEndpoints;

  AdminService(
      final Lifecycle lifecycle,
      final ShardGroup shards,
      final DirectiveBroadcaster directives,
      final DisabledEndpointRegistry disabledEndpoints) {
    this.lifecycle = lifecycle;
    this.shards = shards;
    this.eventLoop = shards.first().eventLoop();
    this.directives = directives;
    this.disabledEndpoints = disabledEndpoints;
  }

  @Override
  public boolean isServing() {
    return lifecycle.isServing();
  }

  @Override
  public boolean isStarted() {
    return lifecycle.hasStarted();
  }

  @Override
  public CompletionStage<CourierMetrics> collectMetrics() {
    return shards.queryEach(shard -> shard.decisionLoop().metrics()).thenApply(CourierMetrics::sum);
  }

  @Override
  public CompletionStage<Boolean> setEndpointDisabled(
      final String endpoint, final boolean disabled) {
    return shards
        .queryEach(shard -> shard.decisionLoop().isKnownEndpoint(endpoint))
        .thenComposeAsync(
            known ->
                known.contains(true)
                    ? disableKnownEndpoint(endpoint, disabled)
                    : CompletableFuture.completedStage(false),
            eventLoop);
  }

  private CompletionStage<Boolean> disableKnownEndpoint(
      final String endpoint, final boolean disabled) {
    try {
      directives.reportEndpointDisabled(endpoint, disabled);
      return disabledEndpoints.setStored(endpoint, disabled).thenApply(done -> true);
    } catch (final IOException e) {
      return CompletableFuture.failedStage(e);
    }
  }
}
