package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import thistleturn.cli.admin.AdminServer;
import thistleturn.cli.config.ProductConfig;
import thistleturn.courier.CourierExtension;
import thistleturn.courier.ExtensionContext;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.membership.MembershipExtension;
import thistleturn.membership.MembershipSettings;
import thistleturn.peers.PeersExtension;
import thistleturn.replicas.ReplicasExtension;

/** All subsystems that a file switches on, as one extension of a courier. */
final class ProductExtension implements CourierExtension {
  private final ProductConfig config;
  private final MembershipExtension membership;
  private final PeersExtension peers;
  private final ReplicasExtension replicas;
  private ExtensionContext surroundings;

  ProductExtension(final ProductConfig config, final Path file) {
    this.config = config;
    this.membership =
        config.membership() == null
            ? null
            : new MembershipExtension(
                () -> {
                  final MembershipSettings fresh = ProductConfig.read(file).membership();
                  if (fresh == null) {
                    throw new IllegalArgumentException(
                        file
                            + ": membership.enabled = false: expected true: switching a "
                            + "subsystem off counts from the next start");
                  }
                  return fresh;
                });
    this.peers = config.peers() == null ? null : new PeersExtension(config.peers());
    this.replicas =
        config.replicas() == null ? null : new ReplicasExtension(config.replicas(), peers);
  }

  @Override
  public EndpointDirectory createDirectory(
      final EndpointDirectory own, final ExtensionContext given) {
    surroundings = given;
    return membership == null ? own : membership.createDirectory(own, given);
  }

  @Override
  public void onServing(final String address) {
    final Map<String, Supplier<JsonNode>> pages = new LinkedHashMap<>();
    if (membership != null) {
      membership.onServing(address);
      pages.put("/members", membership::status);
    }
    if (replicas != null) {
      replicas.setSurroundings(surroundings);
      pages.put("/state", replicas::status);
    }
    if (peers != null) {
      peers.join(surroundings);
      pages.put("/peers", peers::status);
    }
    if (config.admin() != null) {
      pages.put("/lanes", surroundings.routeStatus());
      pages.put("/health", surroundings.localHealth());
      new AdminServer(pages).listen(surroundings.eventLoop(), config.admin());
    }
  }

  @Override
  public void onShutdownStarted() {
    if (membership != null) {
      membership.onShutdownStarted();
    }
    if (replicas != null) {
      replicas.leave();
    }
    if (peers != null) {
      // Now, so that a newer process of this courier may listen there.
      peers.leave();
    }
  }

  @Override
  public boolean tryFinishShutdown() {
    return membership == null || membership.tryFinishShutdown();
  }

  @Override
  public void onConfigurationReload() {
    if (membership != null) {
      membership.onConfigurationReload();
    }
  }
}
