package thistleturn.benchmarks;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import thistleturn.courier.CourierServer;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.decisions.membership.MergeSettings;
import thistleturn.eureka.MetadataNames;
import thistleturn.eureka.RegistrySettings;
import thistleturn.membership.MembershipExtension;
import thistleturn.membership.MembershipSettings;
import thistleturn.testkit.CourierFiles;
import thistleturn.testkit.StandInWorld;

/** A courier in this process that follows a simulated registry, with its temporary folder. */
final class CourierWithRegistry implements AutoCloseable {
  private static final long START_TIMEOUT_S = 60;
  private final Path folder;
  private final StandInWorld standIns;
  private CourierServer courier;

  CourierWithRegistry(final long seed) throws IOException {
    this.folder = Files.createTempDirectory("thistleturn-measure");
    this.standIns = new StandInWorld(folder, seed);
  }

  StandInWorld standIns() {
    return standIns;
  }

  /** Starts the courier, which polls the registry every {@code periodUs}. */
  void start(final long periodUs) throws IOException, ConfigurationException {
    final RegistrySettings registry =
        new RegistrySettings(
            "registry",
            List.of(
                new RegistrySettings.Address(
                    new InetSocketAddress("127.0.0.1", standIns.registry.server().port()),
                    "/eureka")),
            List.of(),
            periodUs,
            4 * periodUs,
            1_000_000,
            1 << 22,
            true,
            MetadataNames.standard());
    courier =
        CourierServer.start(
            standIns.environment(CourierFiles.Size.usual()),
            new MembershipExtension(
                () -> new MembershipSettings(MergeSettings.defaults(), List.of(registry), null)));
    standIns.client.setCourierAddress(
        courier.ready().orTimeout(START_TIMEOUT_S, TimeUnit.SECONDS).join());
  }

  @Override
  public void close() throws IOException {
    if (courier != null) {
      courier.kill();
    }
    standIns.close();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
  }
}
