package thistleturn.courier.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import thistleturn.courier.learned.LearnedStateFile;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.LearnedState;
import thistleturn.decisions.model.EndpointState;

/** Whoever hands on what a process had learnt, living or dead, does so by the same contract. */
@Tag("decisions")
final class LearnedStateSourceContractTest {
  private static final Clock CLOCK = new Clock();
  private static final int WINDOW = 0;
  private static final int WAIT = 1;
  private static final int FIGURES = 21;
  private static final int MOMENTS = 7;

  private static HandoverSnapshot.NumberedEndpoint named(final long number, final int port) {
    return new HandoverSnapshot.NumberedEndpoint(
        number,
        new EndpointDirectory.Entry(
            "e" + number,
            EndpointState.LISTED,
            new InetSocketAddress("127.0.0.1", port),
            "a",
            2.5,
            "std",
            57));
  }

  private static LearnedState memory(final long waitUs) {
    final double[] figures = new double[FIGURES];
    figures[WINDOW] = 9;
    final long[] moments = new long[MOMENTS];
    moments[0] = Long.MAX_VALUE;
    moments[WAIT] = waitUs;
    moments[MOMENTS - 1] = waitUs;
    return new LearnedState(
        new double[] {1000},
        new int[] {7},
        1e7,
        List.of(
            new LearnedState.LearnedRoute(4, figures, moments),
            new LearnedState.LearnedRoute(5, figures, moments)),
        List.of(new LearnedState.LearnedEndpoint(4, new double[3], new long[] {0, 0, waitUs})));
  }

  static Stream<LearnedStateSource> bothSources() {
    final long nowUs = CLOCK.nowUs();
    final HandoverSnapshot inheritance =
        new HandoverSnapshot(List.of(named(4, 9001), named(5, 9002)), memory(nowUs), List.of());
    return Stream.of(inheritance, new LearnedStateFile.StoredState(inheritance, nowUs));
  }

  @ParameterizedTest
  @MethodSource("both")
  void remainingEndpoints_areRenumberedAndOthersDropped(final LearnedStateSource from) {
    assertEquals(
        List.of(4L, 5L),
        from.endpoints().stream().map(HandoverSnapshot.NumberedEndpoint::number).toList());
    final LearnedState here = from.learnedState(Map.of(4L, 17L), CLOCK);
    assertEquals(
        List.of(17L),
        here.routes().stream().map(LearnedState.LearnedRoute::endpointId).toList(),
        "of one that is gone nothing is told");
    assertEquals(
        List.of(17L),
        here.endpoints().stream().map(LearnedState.LearnedEndpoint::endpointId).toList());
    assertArrayEquals(new int[] {7}, here.classSamples());
  }

  @ParameterizedTest
  @MethodSource("both")
  void timestamps_areOnThisProcessesClockAndWaitsRemain(final LearnedStateSource from) {
    final long[] moments = from.learnedState(Map.of(4L, 17L), CLOCK).routes().get(0).moments();
    assertTrue(
        Math.abs(moments[WAIT] - CLOCK.nowUs()) < 60_000_000,
        "off by " + (moments[WAIT] - CLOCK.nowUs()) + " us");
    assertEquals(Long.MAX_VALUE, moments[0], "never stays never");
  }

  @ParameterizedTest
  @MethodSource("both")
  void learnedWindow_isNotBelowInitialWindow(final LearnedStateSource from) {
    final double window =
        from.learnedState(Map.of(4L, 17L), CLOCK).routes().get(0).figures()[WINDOW];
    assertTrue(window >= 2 && window <= 9, "window " + window);
  }
}
