package thistleturn.courier;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import thistleturn.courier.handover.HandoverCodec;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.decisions.LearnedState;
import thistleturn.decisions.model.EndpointState;

/**
 * The calls in flight of a {@link ScriptedCourierProcess}, and their form in a handover snapshot.
 */
final class ScriptedCalls {
  /** The destination of {@link CourierHarness}'s endpoints. */
  static final long DESTINATION = 7;

  private static final long ENDPOINT = 1;
  private static final double WEIGHT = 100;

  /** The number of {@link CourierHarness}'s message classes. */
  private static final int CLASSES = 4;

  /** A quarter of the latency objective of these classes. */
  private static final double INITIAL_MEAN_US = 1_250_000;

  private static final double TRUSTED_IDLE_US = 10_000_000;

  private final InetSocketAddress endpoint;
  private final List<Call> calls = new ArrayList<>();

  /** A call with one message. */
  private record Call(String id, long sentUs, Socket connection) {}

  ScriptedCalls(final InetSocketAddress endpoint) {
    this.endpoint = endpoint;
  }

  void add(final String id, final long sentUs, final Socket connection) {
    calls.add(new Call(id, sentUs, connection));
  }

  /** Closes the connection of the call with this number and returns the id of its message. */
  String abandon(final long number) {
    final Call call = calls.get((int) number);
    try {
      call.connection().close();
    } catch (final IOException e) {
      throw new UncheckedIOException(e);
    }
    return call.id();
  }

  /** Returns a handover snapshot of the endpoint and the calls, without learned state. */
  HandoverSnapshot snapshot() {
    final List<HandoverSnapshot.InFlightRemoteCall> described = new ArrayList<>();
    for (int number = 0; number < calls.size(); number++) {
      final Call call = calls.get(number);
      described.add(
          new HandoverSnapshot.InFlightRemoteCall(
              number, ENDPOINT, DESTINATION, call.sentUs(), List.of(call.id())));
    }
    return new HandoverSnapshot(
        List.of(
            new HandoverSnapshot.NumberedEndpoint(
                ENDPOINT,
                new EndpointDirectory.Entry(
                    "e1", EndpointState.LISTED, endpoint, "a", WEIGHT, "std", DESTINATION))),
        nothingLearned(),
        described);
  }

  /** Returns the learned state of a courier of {@link CourierHarness} before its first call. */
  private static LearnedState nothingLearned() {
    final double[] classMeanUs = new double[CLASSES];
    Arrays.fill(classMeanUs, INITIAL_MEAN_US);
    return new LearnedState(classMeanUs, new int[CLASSES], TRUSTED_IDLE_US, List.of(), List.of());
  }

  /** Returns the lines of the snapshot without its last one. */
  List<String> snapshotLinesButLast() {
    final List<String> lines = HandoverCodec.encodeSnapshot(snapshot());
    return lines.subList(0, lines.size() - 1);
  }
}
