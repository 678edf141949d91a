package thistleturn.membership;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import thistleturn.courier.CourierServer;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.decisions.membership.MergeSettings;
import thistleturn.eureka.MetadataNames;
import thistleturn.eureka.RegistrationSettings;
import thistleturn.eureka.RegistrySettings;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInRegistry;
import thistleturn.testkit.StandInWorld;

/** A courier with the membership subsystem, with stand-ins for its clients and servers. */
final class CourierUnderTest implements AutoCloseable {
  static final long MS = 1000;
  private static final long AWAIT_S = 30;

  final StandInWorld world;
  MergeSettings rules = MergeSettings.defaults();
  List<RegistrySettings> registries = new ArrayList<>();
  RegistrationSettings registration;
  private CourierServer courier;
  private MembershipExtension extension;

  CourierUnderTest(final Path folder, final long seed) {
    world = new StandInWorld(folder, seed);
    registries.add(registry("eureka", 50, world.registry));
  }

  static RegistrySettings registry(
      final String name, final long pollIntervalMs, final StandInRegistry... peers) {
    final List<RegistrySettings.Address> addresses = new ArrayList<>();
    for (final StandInRegistry peer : peers) {
      addresses.add(address(peer));
    }
    return new RegistrySettings(
        name,
        addresses,
        List.of(),
        pollIntervalMs * MS,
        4 * pollIntervalMs * MS,
        400 * MS,
        1 << 22,
        true,
        MetadataNames.standard());
  }

  static RegistrySettings.Address address(final StandInRegistry peer) {
    return new RegistrySettings.Address(
        new InetSocketAddress("127.0.0.1", peer.server().port()), "/eureka");
  }

  CourierUnderTest start() throws IOException, ConfigurationException {
    extension =
        new MembershipExtension(() -> new MembershipSettings(rules, registries, registration));
    courier = CourierServer.start(world.environment(CourierFiles.Size.usual()), extension);
    world.client.setCourierAddress(courier.ready().orTimeout(AWAIT_S, TimeUnit.SECONDS).join());
    return this;
  }

  void reload() {
    courier.reload();
  }

  /** Kills the courier without a shutdown and starts another on the same folder. */
  void killAndRestart() throws IOException, ConfigurationException {
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    courier.kill();
    world.resetConnections();
    // Endpoints still respond until the kill has completed.
    world.ruleChecker.recordRestart(world.clock.nowUs(), false);
    start();
    world.ruleChecker.recordRestart(world.clock.nowUs(), true);
  }

  /** Shuts the courier down as SIGTERM does; returns when the process would exit. */
  void stop() {
    courier.shutDownGracefully();
  }

  JsonNode status() {
    final CompletableFuture<JsonNode> status = new CompletableFuture<>();
    courier.eventLoop().execute(() -> status.complete(extension.status()));
    return status.orTimeout(AWAIT_S, TimeUnit.SECONDS).join();
  }

  JsonNode member(final String address) {
    for (final JsonNode member : status().path("members")) {
      if (member.path("address").asText().equals(address)) {
        return member;
      }
    }
    return null;
  }

  JsonNode source(final String name) {
    for (final JsonNode source : status().path("sources")) {
      if (source.path("name").asText().equals(name)) {
        return source;
      }
    }
    return null;
  }

  void awaitMember(final String address, final Predicate<JsonNode> state) {
    world.await(
        address + " in the awaited state",
        () -> {
          final JsonNode member = member(address);
          return member != null && state.test(member);
        });
  }

  void awaitState(final String address, final String state) {
    awaitMember(address, member -> member.path("state").asText().equals(state));
  }

  @Override
  public void close() {
    if (courier != null) {
      courier.kill();
    }
    world.close();
  }
}
