package thistleturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.testkit.StandInWorld;
import thistleturn.testkit.rig.FleetChecker;
import thistleturn.testkit.rig.RealFleet;
import thistleturn.testkit.rig.Schedule;

/**
 * Gossip among real couriers started by {@code bin/thistleturn serve}, each pair of which is
 * connected by a relay in each direction that injects faults.
 */
@Tag("peers")
final class PeersFleetTest {
  /** The maximum number of rounds in which malformed datagrams are sent. */
  private static final int MAX_ROUNDS = 10;

  @TempDir private Path folder;

  private FleetChecker play(final String text, final Check check) throws IOException {
    final Schedule schedule = Schedule.parse(text);
    try (StandInWorld world = new StandInWorld(folder, schedule.seed());
        RealFleet fleet =
            new RealFleet(
                folder, schedule, world.platform.address(), world.platform.known(), "", 5000)) {
      final FleetChecker judge = fleet.run();
      assertEquals(List.of(), judge.violations(), () -> fleet.summary() + fleet.recentLines());
      assertTrue(judge.isAgreed(), () -> "views differ at the end: " + fleet.recentLines());
      check.verify(fleet);
      return judge;
    }
  }

  private interface Check {
    void verify(RealFleet fleet) throws IOException;
  }

  private static String peers(final RealFleet fleet, final int number, final String... more) {
    final StringWriter out = new StringWriter();
    final List<String> args = new ArrayList<>(List.of("peers", "--at", fleet.adminAddress(number)));
    args.addAll(Arrays.asList(more));
    assertEquals(
        0, Main.commandLine().setOut(new PrintWriter(out)).execute(args.toArray(String[]::new)));
    return out.toString();
  }

  /**
   * A kill, a tolerated pause, a one-way cut and a restart at 5% packet loss; then the admin page
   * is checked.
   */
  @Test
  void fiveProcessesUnderFaults_agreeOnMembers() throws IOException {
    final FleetChecker judge =
        play(
            """
                members 5
                seed 31
                end 16s
                at 0s loss 0.05
                at 1s cut 0 -> 4 for 13s
                at 3s kill 3
                at 5s pause 1 for 4s
                at 10s start 3
                """,
            fleet -> {
              final JsonNode status = new ObjectMapper().readTree(peers(fleet, 2, "--json"));
              assertEquals("majority", status.path("standing").asText());
              assertEquals(5, status.path("view").path("members").size());
              assertEquals(0, status.path("malformed").asInt());
              assertEquals(0, status.path("too_large").asInt());
              assertTrue(peers(fleet, 2).contains("NOT HEARD BY"));
              assertEquals(
                  6,
                  peers(fleet, 2, "--matrix")
                          .lines()
                          .filter(line -> line.startsWith("n0") || line.startsWith("HEARS"))
                          .count()
                      - 1,
                  () -> "a heading and a row for each peer: " + peers(fleet, 2, "--matrix"));
            });
    assertEquals(1, judge.detectionTimesMs().size());
    assertTrue(
        judge.detectionTimesMs().get(0) < 4000, () -> "known after " + judge.detectionTimesMs());
  }

  /**
   * A network split that heals: the minority detects that it is one, and rejoins. Malformed
   * datagrams from outside the fleet do not change the membership.
   */
  @Test
  void splitFleetAndMalformedDatagrams_membershipRecovers() throws IOException {
    play(
        """
                members 5
                seed 32
                end 22s
                at 1s cut 0,1 <-> 2,3,4 for 12s
                """,
        fleet -> {
          assertTrue(
              fleet.recentLines().stream()
                  .anyMatch(
                      line ->
                          line.startsWith("n01: ")
                              && line.contains(" peers: reaches no majority: 2 of 5")),
              fleet.recentLines()::toString);
          final JsonNode before = fleet.peersPage(2);
          final Random random = new Random(33);
          final int datagrams = 200;
          JsonNode after = before;
          try (DatagramSocket socket = new DatagramSocket()) {
            final String[] at = before.path("address").asText().split(":");
            // A busy courier may read them late and its system may drop some, so more are sent.
            for (int number = 0;
                number < MAX_ROUNDS * datagrams
                    && (number < datagrams || after.path("malformed").asInt() < datagrams / 2);
                number++) {
              final byte[] noise = new byte[1 + random.nextInt(1500)];
              random.nextBytes(noise);
              socket.send(
                  new DatagramPacket(
                      noise, noise.length, new InetSocketAddress(at[0], Integer.parseInt(at[1]))));
              if ((number + 1) % datagrams == 0) {
                after = new ObjectMapper().readTree(peers(fleet, 2, "--json"));
              }
            }
          }
          assertEquals(before.path("view").path("members"), after.path("view").path("members"));
          assertTrue(after.path("malformed").asInt() >= datagrams / 2, after.toString());
        });
  }
}
