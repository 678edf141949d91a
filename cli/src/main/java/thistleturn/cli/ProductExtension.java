package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import thistleturn.cli.admin.AdminServer;
import thistleturn.cli.config.ProductConfig;
import thistleturn.courier.CourierProcess.Extension;
import thistleturn.courier.CourierProcess.Surroundings;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.membership.MembershipExtension;
import thistleturn.membership.MembershipSettings;
import thistleturn.peers.PeersExtension;
import thistleturn.replicas.ReplicasExtension;

/** All subsystems that a file switches on, as one extension of a courier. */
final class ProductExtension implements Extension {
  private final ProductConfig config;
  private final MembershipExtension membership;
  private final PeersExtension peers;
  private final ReplicasExtension replicas;
  private Surroundings surroundings;

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
  public EndpointDirectory directory(final EndpointDirectory own, final Surroundings given) {
    surroundings = given;
    return membership == null ? own : membership.directory(own, given);
  }

  @Override
  public void ready(final String address) {
    final Map<String, Supplier<JsonNode>> pages = new LinkedHashMap<>();
    if (membership != null) {
      membership.ready(address);
      pages.put("/members", membership::status);
    }
    if (replicas != null) {
      replicas.surroundings(surroundings);
      pages.put("/state", replicas::status);
    }
    if (peers != null) {
      peers.begin(surroundings);
      pages.put("/peers", peers::status);
    }
    if (config.admin() != null) {
      pages.put("/lanes", surroundings.lanes());
      pages.put("/health", surroundings.health());
      new AdminServer(pages).listen(surroundings.loop(), config.admin());
    }
  }

  @Override
  public void stopping() {
    if (membership != null) {
      membership.stopping();
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
  public boolean leave() {
    return membership == null || membership.leave();
  }

  @Override
  public void reload() {
    if (membership != null) {
      membership.reload();
    }
  }
}
