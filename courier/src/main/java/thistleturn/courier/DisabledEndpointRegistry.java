package thistleturn.courier;

import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletionStage;
import thistleturn.courier.operator.DisabledEndpointsFile;
import thistleturn.courier.runtime.Log;

/**
 * The administratively disabled endpoints, as last sent to all shards. If an operator address is
 * configured, they are stored in a file that survives the process and that another process of this
 * courier may write too. Changed on the first event loop only.
 */
final class DisabledEndpointRegistry {
  private final ShardGroup shards;

  /** Null if no operator address is configured; then nothing is stored. */
  private final DisabledEndpointsFile file;

  private volatile Set<String> endpoints = Set.of();

  DisabledEndpointRegistry(final ShardGroup shards, final DisabledEndpointsFile file) {
    this.shards = shards;
    this.file = file;
  }

  /** Reads the endpoints that an earlier process stored; does not notify the shards yet. */
  void load() throws IOException {
    if (file != null) {
      endpoints = file.read();
    }
  }

  /** Returns the endpoints that are disabled now; may be called on any thread. */
  Set<String> endpoints() {
    return endpoints;
  }

  /** Returns whether changes survive the process. */
  boolean isStored() {
    return file != null;
  }

  /**
   * Disables or enables an endpoint and stores that, together with changes that another process of
   * this courier may have stored since; completes once every shard has applied it.
   *
   * @throws IOException if it cannot be stored; then nothing has changed
   */
  CompletionStage<?> setStored(final String endpoint, final boolean disabled) throws IOException {
    final Set<String> names = file.read();
    if (change(names, endpoint, disabled)) {
      file.replace(names);
      Log.info("operator: " + endpoint + (disabled ? " is disabled" : " is enabled"));
    }
    return apply(names);
  }

  /** Disables or enables an endpoint for as long as this process runs. */
  void setUnstored(final String endpoint, final boolean disabled) {
    final Set<String> names = new TreeSet<>(endpoints);
    if (change(names, endpoint, disabled)) {
      apply(names);
    }
  }

  private static boolean change(
      final Set<String> names, final String endpoint, final boolean disabled) {
    return disabled ? names.add(endpoint) : names.remove(endpoint);
  }

  /** Applies changes that another process of this courier has stored. */
  void applyStoredChanges() {
    try {
      final Set<String> names = file.read();
      if (!names.equals(endpoints)) {
        apply(names);
      }
    } catch (final IOException e) {
      Log.info("operator: cannot read the disabled endpoints: " + e.getMessage());
    }
  }

  private CompletionStage<?> apply(final Set<String> names) {
    endpoints = Set.copyOf(names);
    return shards.queryEach(
        shard -> {
          shard.decisionLoop().setDisabledEndpoints(names);
          return true;
        });
  }
}
