package thistleturn.courier;

import java.io.IOException;
import java.util.Set;
import thistleturn.courier.port.DirectiveSink;
import thistleturn.courier.port.StateObserver;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.directives.Directive;

/**
 * Applies the directives of subsystems on destinations and endpoints to all shards, and relays the
 * shards' reports to one observer. Used on the first event loop.
 */
final class DirectiveBroadcaster implements DirectiveSink {
  private final ShardGroup shards;
  private final DisabledEndpointRegistry disabledEndpoints;

  /** Null while there is no observer. */
  private StateObserver observer;

  DirectiveBroadcaster(final ShardGroup shards, final DisabledEndpointRegistry disabledEndpoints) {
    this.shards = shards;
    this.disabledEndpoints = disabledEndpoints;
  }

  @Override
  public void observe(final StateObserver stateObserver) {
    observer = stateObserver;
    shards.queryEach(
        shard -> {
          shard.decisionLoop().setObserver(relayTo(stateObserver));
          return true;
        });
  }

  /** Returns the observer wrapped so that any shard may notify it, or null if there is none. */
  StateObserver observerForShards() {
    return observer == null ? null : relayTo(observer);
  }

  private ObserverRelay relayTo(final StateObserver stateObserver) {
    return new ObserverRelay(shards.first().eventLoop(), stateObserver);
  }

  /**
   * Notifies the observer that an operator disables or enables an endpoint here.
   *
   * @throws IOException if the observer cannot store that; then the caller must change nothing
   */
  void reportEndpointDisabled(final String endpoint, final boolean disabled) throws IOException {
    if (observer != null) {
      observer.onEndpointDisabled(endpoint, disabled);
    }
  }

  @Override
  public void applyDirective(final long destination, final Directive directive) {
    shards.queryEach(
        shard -> {
          shard.decisionLoop().applyDirective(destination, directive);
          return true;
        });
  }

  @Override
  public void setDisabled(final String endpoint, final boolean disabled) {
    if (disabledEndpoints.isStored()) {
      try {
        disabledEndpoints.setStored(endpoint, disabled);
        return;
      } catch (final IOException e) {
        Log.info("the disabled endpoints cannot be stored: " + e.getMessage());
      }
    }
    disabledEndpoints.setUnstored(endpoint, disabled);
  }

  @Override
  public Set<String> disabledEndpoints() {
    return disabledEndpoints.endpoints();
  }
}
