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

/** Learned state is the same whether a running process hands it over or it is read from a file. */
@Tag("decisions")
final class LearnedStateSourceContractTest {
  private static final Clock CLOCK = new Clock();
  private static final int WINDOW = 0;
  private static final int WAIT = 1;
  private static final int FIGURE_COUNT = 21;
  private static final int MOMENT_COUNT = 7;

  private static HandoverSnapshot.NumberedEndpoint endpoint(final long number, final int port) {
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

  private static LearnedState learnedState(final long waitUs) {
    final double[] figures = new double[FIGURE_COUNT];
    figures[WINDOW] = 9;
    final long[] moments = new long[MOMENT_COUNT];
    moments[0] = Long.MAX_VALUE;
    moments[WAIT] = waitUs;
    moments[MOMENT_COUNT - 1] = waitUs;
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
    final HandoverSnapshot snapshot =
        new HandoverSnapshot(
            List.of(endpoint(4, 9001), endpoint(5, 9002)), learnedState(nowUs), List.of());
    return Stream.of(snapshot, new LearnedStateFile.StoredState(snapshot, nowUs));
  }

  @ParameterizedTest
  @MethodSource("bothSources")
  void remainingEndpoints_areRenumberedAndOthersDropped(final LearnedStateSource source) {
    assertEquals(
        List.of(4L, 5L),
        source.endpoints().stream().map(HandoverSnapshot.NumberedEndpoint::number).toList());
    final LearnedState renumbered = source.learnedState(Map.of(4L, 17L), CLOCK);
    assertEquals(
        List.of(17L),
        renumbered.routes().stream().map(LearnedState.LearnedRoute::endpointId).toList(),
        "endpoints without a number are dropped");
    assertEquals(
        List.of(17L),
        renumbered.endpoints().stream().map(LearnedState.LearnedEndpoint::endpointId).toList());
    assertArrayEquals(new int[] {7}, renumbered.classSamples());
  }

  @ParameterizedTest
  @MethodSource("bothSources")
  void timestampsAndWaits_areOnThisProcessesClock(final LearnedStateSource source) {
    final long[] moments = source.learnedState(Map.of(4L, 17L), CLOCK).routes().get(0).moments();
    assertTrue(
        Math.abs(moments[WAIT] - CLOCK.nowUs()) < 60_000_000,
        "off by " + (moments[WAIT] - CLOCK.nowUs()) + " us");
    assertEquals(Long.MAX_VALUE, moments[0], "an infinite time stays infinite");
  }

  @ParameterizedTest
  @MethodSource("bothSources")
  void learnedWindow_isNotBelowInitialWindow(final LearnedStateSource source) {
    final double window =
        source.learnedState(Map.of(4L, 17L), CLOCK).routes().get(0).figures()[WINDOW];
    assertTrue(window >= 2 && window <= 9, "window " + window);
  }
}
