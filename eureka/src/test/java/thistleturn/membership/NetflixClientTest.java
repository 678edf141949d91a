package thistleturn.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.netflix.appinfo.ApplicationInfoManager;
import com.netflix.appinfo.InstanceInfo;
import com.netflix.appinfo.MyDataCenterInstanceConfig;
import com.netflix.appinfo.providers.EurekaConfigBasedInstanceInfoProvider;
import com.netflix.config.ConfigurationManager;
import com.netflix.discovery.DefaultEurekaClientConfig;
import com.netflix.discovery.DiscoveryClient;
import com.netflix.discovery.shared.Application;
import com.netflix.discovery.shared.transport.jersey3.Jersey3TransportClientFactories;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.eureka.RegistrationSettings;
import thistleturn.testkit.StandInRegistry;
import thistleturn.testkit.StandInWorld;

/**
 * Netflix's own client against the stand-in registry, which shows that the stand-in behaves like a
 * registry: the client registers, renews, fetches, applies deltas, and finds the courier's
 * instance.
 */
@Tag("membership")
final class NetflixClientTest {
  private static final String APP = "HEAT";

  @TempDir private Path folder;

  private static DiscoveryClient client(final StandInRegistry registry) {
    final var settings = ConfigurationManager.getConfigInstance();
    settings.setProperty("eureka.serviceUrl.default", registry.url() + "/");
    settings.setProperty("eureka.client.refresh.interval", "1");
    settings.setProperty("eureka.appinfo.initial.replicate.time", "0");
    settings.setProperty("eureka.appinfo.replicate.interval", "1");
    settings.setProperty("eureka.lease.renewalInterval", "1");
    settings.setProperty("eureka.lease.duration", "3");
    settings.setProperty("eureka.name", APP);
    settings.setProperty("eureka.port", "9090");
    settings.setProperty("eureka.vipAddress", "heat");
    settings.setProperty("eureka.client.gzipContent", "false");
    final MyDataCenterInstanceConfig own = new MyDataCenterInstanceConfig();
    final InstanceInfo info = new EurekaConfigBasedInstanceInfoProvider(own).get();
    info.setStatus(InstanceInfo.InstanceStatus.UP);
    return new DiscoveryClient(
        new ApplicationInfoManager(own, info, (ApplicationInfoManager.OptionalArgs) null),
        new DefaultEurekaClientConfig(),
        Jersey3TransportClientFactories.getInstance());
  }

  private static InstanceInfo seen(
      final DiscoveryClient client, final String app, final String id) {
    final Application application = client.getApplication(app);
    return application == null ? null : application.getByInstanceId(id);
  }

  private static int count(final StandInRegistry registry, final String request) {
    return registry.requests().getOrDefault(request, 0);
  }

  @Test
  void netflixClient_registersAndPollsAtStandIn() {
    try (StandInWorld world = new StandInWorld(folder, 1)) {
      final StandInRegistry registry = world.registry;
      registry.register(StandInRegistry.endpoint("PUMP", "p1", 7001, 5, "UP"));
      final DiscoveryClient client = client(registry);
      try {
        final String id = client.getApplicationInfoManager().getInfo().getId();
        world.await("the client's instance", () -> registry.entry(APP, id) != null);
        assertEquals("9090", registry.entry(APP, id).path("port").path("$").asText());
        assertEquals(
            5,
            Long.parseLong(
                seen(client, "PUMP", "p1").getMetadata().get("thistleturn.destination")));
        world.await("renewals", () -> count(registry, "PUT apps/{app}/{id}") >= 2);

        registry.register(StandInRegistry.endpoint("PUMP", "p2", 7002, 5, "UP"));
        world.await("an added instance", () -> seen(client, "PUMP", "p2") != null);
        registry.setStatus("PUMP", "p2", "DOWN");
        world.await(
            "a changed instance",
            () -> seen(client, "PUMP", "p2").getStatus() == InstanceInfo.InstanceStatus.DOWN);
        registry.overrideStatus("PUMP", "p1", "OUT_OF_SERVICE");
        world.await(
            "an override",
            () ->
                seen(client, "PUMP", "p1").getStatus()
                    == InstanceInfo.InstanceStatus.OUT_OF_SERVICE);
        registry.cancel("PUMP", "p2");
        world.await("a deleted instance", () -> seen(client, "PUMP", "p2") == null);
        assertTrue(count(registry, "GET apps/delta") >= 3, registry.requests().toString());
        assertEquals(
            1, count(registry, "GET apps"), "all changes came by deltas with matching hashes");

        registry.restart();
        world.await("a new registration after 404", () -> registry.entry(APP, id) != null);
        world.await("a full poll after a hash mismatch", () -> count(registry, "GET apps") > 1);
        client.shutdown();
        assertNull(registry.entry(APP, id));
      } finally {
        client.shutdown();
      }
    }
  }

  @Test
  void registeredCourier_isSeenByNetflixClient() throws Exception {
    try (CourierUnderTest courier = new CourierUnderTest(folder, 2)) {
      courier.registration =
          new RegistrationSettings(
              List.of(CourierUnderTest.address(courier.world.registry)),
              "THISTLETURN",
              "thistleturn",
              500_000,
              1_500_000);
      courier.start();
      final String id = courier.status().path("registration").path("id").asText();
      courier.world.await(
          "the courier's instance", () -> courier.world.registry.entry("THISTLETURN", id) != null);
      final DiscoveryClient client = client(courier.world.registry);
      try {
        final InstanceInfo entry = seen(client, "THISTLETURN", id);
        assertNotNull(entry);
        assertEquals(InstanceInfo.InstanceStatus.UP, entry.getStatus());
        assertEquals("courier", entry.getMetadata().get("thistleturn.role"));
        assertEquals("thistleturn", entry.getVIPAddress());
      } finally {
        client.shutdown();
      }
    }
  }
}
