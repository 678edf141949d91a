package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import thistleturn.cli.admin.AdminServer;
import thistleturn.cli.config.InvalidSettingException;
import thistleturn.cli.config.ProductConfig;
import thistleturn.courier.CourierExtension;
import thistleturn.courier.ExtensionContext;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.membership.MembershipExtension;
import thistleturn.membership.MembershipSettings;
import thistleturn.peers.PeersExtension;
import thistleturn.replicas.ReplicasExtension;

/** Combines the subsystems that a settings file enables into one extension of a courier. */
final class ProductExtension implements CourierExtension {
  private final ProductConfig config;
  private final MembershipExtension membership;
  private final PeersExtension peers;
  private final ReplicasExtension replicas;
  private ExtensionContext context;

  ProductExtension(final ProductConfig config, final Path file) {
    this.config = config;
    this.membership =
        config.membership() == null ? null : new MembershipExtension(() -> readMembership(file));
    this.peers = config.peers() == null ? null : new PeersExtension(config.peers());
    this.replicas =
        config.replicas() == null ? null : new ReplicasExtension(config.replicas(), peers);
  }

  private static MembershipSettings readMembership(final Path file) {
    final MembershipSettings membership = ProductConfig.read(file).membership();
    if (membership == null) {
      throw new InvalidSettingException(
          file
              + ": membership.enabled = false: expected true: switching a "
              + "subsystem off counts from the next start");
    }
    return membership;
  }

  @Override
  public EndpointDirectory createDirectory(
      final EndpointDirectory platformDirectory, final ExtensionContext givenContext) {
    context = givenContext;
    return membership == null
        ? platformDirectory
        : membership.createDirectory(platformDirectory, givenContext);
  }

  @Override
  public void onServing(final String address) {
    final Map<String, Supplier<JsonNode>> pages = new LinkedHashMap<>();
    if (membership != null) {
      membership.onServing(address);
      pages.put("/members", membership::status);
    }
    if (replicas != null) {
      replicas.setContext(context);
      pages.put("/state", replicas::status);
    }
    if (peers != null) {
      peers.join(context);
      pages.put("/peers", peers::status);
    }
    if (config.admin() != null) {
      pages.put("/lanes", context.routeStatus());
      pages.put("/health", context.localHealth());
      new AdminServer(pages).listen(context.eventLoop(), config.admin());
    }
  }

  @Override
  public void onShutdownStarted() {
    if (membership != null) {
      membership.onShutdownStarted();
    }
    if (replicas != null) {
      replicas.stop();
    }
    if (peers != null) {
      // Frees the port at once for the process that replaces this one.
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
