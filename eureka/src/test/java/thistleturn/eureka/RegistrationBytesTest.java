package thistleturn.eureka;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.membership.MergedEndpoint;
import thistleturn.decisions.membership.RegistrationLease;
import thistleturn.decisions.membership.StateReason;

/** The exact requests that register a courier, and the names on the admin page of members. */
@Tag("membership")
@Timeout(60)
final class RegistrationBytesTest {
  private static final long TIMEOUT_S = 20;
  private static final String ENTRY =
      "{\"instance\":{\"instanceId\":\"n0:couriers:7070\",\"hostName\":\"127.0.0.1\","
          + "\"app\":\"COURIERS\",\"ipAddr\":\"127.0.0.1\",\"status\":\"UP\","
          + "\"overriddenstatus\":\"UNKNOWN\",\"vipAddress\":\"couriers.vip\","
          + "\"secureVipAddress\":\"couriers.vip\",\"countryId\":1,"
          + "\"homePageUrl\":\"http://127.0.0.1:7070/\","
          + "\"statusPageUrl\":\"http://127.0.0.1:7070/up\","
          + "\"healthCheckUrl\":\"http://127.0.0.1:7070/up\","
          + "\"isCoordinatingDiscoveryServer\":\"false\",\"lastDirtyTimestamp\":\"DIRTY\","
          + "\"lastUpdatedTimestamp\":\"DIRTY\",\"port\":{\"$\":7070,\"@enabled\":\"true\"},"
          + "\"securePort\":{\"$\":443,\"@enabled\":\"false\"},\"dataCenterInfo\":"
          + "{\"@class\":\"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo\","
          + "\"name\":\"MyOwn\"},\"leaseInfo\":{\"renewalIntervalInSecs\":1,"
          + "\"durationInSecs\":90},\"metadata\":{\"thistleturn.role\":\"courier\"}}}";

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterEach
  void stopLoop() throws InterruptedException {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  /** Reads one request, responds with 204, and returns it with its timestamps replaced. */
  private static String serve(final ServerSocket registry) throws IOException {
    try (Socket connection = registry.accept()) {
      connection.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
      final BufferedReader in =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      final StringBuilder text = new StringBuilder();
      int length = 0;
      for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
        text.append(line).append('\n');
        if (line.startsWith("Content-Length: ")) {
          length = Integer.parseInt(line.substring("Content-Length: ".length()));
        }
      }
      text.append('\n');
      for (int index = 0; index < length; index++) {
        text.append((char) in.read());
      }
      connection
          .getOutputStream()
          .write("HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      return text.toString().replaceAll("(Timestamp=|Timestamp\":\")\\d{13}", "$1DIRTY");
    }
  }

  private static String head(final String line, final ServerSocket registry, final int length) {
    return line
        + " HTTP/1.1\nHost: 127.0.0.1:"
        + registry.getLocalPort()
        + "\nAccept: application/json\nConnection: close\nUser-Agent: thistleturn\n"
        + "Content-Length: "
        + length
        + "\n";
  }

  @Test
  void registrationLifecycle_sendsTheseRequests() throws Exception {
    final String entry = "/eureka/apps/COURIERS/n0:couriers:7070";
    try (ServerSocket registry = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
      registry.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
      final RegistrySettings.Address address =
          new RegistrySettings.Address(
              new InetSocketAddress("127.0.0.1", registry.getLocalPort()), "/eureka");
      final RegistrationSettings settings =
          new RegistrationSettings(
              List.of(address), "COURIERS", "couriers.vip", 1_000_000, 90_000_000);
      final CompletableFuture<EurekaRegistration> started = new CompletableFuture<>();
      loops
          .next()
          .execute(
              () ->
                  started.complete(
                      new EurekaRegistration(
                          settings, loops.next(), new Clock(), "n0", "127.0.0.1:7070")));
      // Each of the two timestamps is longer than its replacement.
      final int entryLength = ENTRY.length() + 2 * (13 - "DIRTY".length());
      assertEquals(
          head("POST /eureka/apps/COURIERS", registry, entryLength)
              + "Content-Type: application/json\n\n"
              + ENTRY,
          serve(registry));
      assertEquals(
          head("PUT " + entry + "?status=UP&lastDirtyTimestamp=DIRTY", registry, 0) + "\n",
          serve(registry));
      final EurekaRegistration registration = started.get(TIMEOUT_S, TimeUnit.SECONDS);
      loops.next().execute(registration::beginDraining);
      String request = serve(registry);
      while (request.startsWith("PUT " + entry + "?status=UP")) {
        request = serve(registry);
      }
      assertEquals(
          head(
                  "PUT " + entry + "/status?value=OUT_OF_SERVICE&lastDirtyTimestamp=DIRTY",
                  registry,
                  0)
              + "\n",
          request);
      loops.next().execute(registration::cancel);
      request = serve(registry);
      while (request.startsWith("PUT ")) {
        request = serve(registry);
      }
      assertEquals(head("DELETE " + entry, registry, 0) + "\n", request);
    }
  }

  @Test
  void unusableReasons_areWrittenByTheseNames() {
    final Map<EurekaMapping.Unusable, Long> counts = new EnumMap<>(EurekaMapping.Unusable.class);
    for (final EurekaMapping.Unusable reason : EurekaMapping.Unusable.values()) {
      counts.put(reason, 1L);
    }
    assertEquals(
        "{\"NO_ID\":1,\"NO_DESTINATION\":1,\"NO_ADDRESS\":1,\"NO_PORT\":1,\"BAD_RATE\":1,"
            + "\"TOO_LONG\":1}",
        new ObjectMapper().valueToTree(counts).toString());
  }

  /** The admin page and the commands show these in lower case. */
  @Test
  void memberStatesAndReasons_haveTheseNames() {
    assertEquals("[UP, DRAINING, GONE]", Arrays.toString(MergedEndpoint.State.values()));
    assertEquals(
        "[SAID, CAUTION, WARNING_EXPIRED, DELETED, FLAPPING, STALE, STALE_SPARED, LAST_RESORT,"
            + " DOUBTED, CONTESTED, UNLISTED]",
        Arrays.toString(StateReason.values()));
  }

  /** The admin page uses these in lower case as keys of counts. */
  @Test
  void registrationActions_haveTheseNames() {
    assertEquals(
        "[REGISTER, RENEW, WARN, CANCEL, NOTHING]",
        Arrays.toString(RegistrationLease.Action.values()));
  }
}
