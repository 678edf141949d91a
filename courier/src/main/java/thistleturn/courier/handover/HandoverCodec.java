package thistleturn.courier.handover;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import thistleturn.courier.runtime.Json;
import thistleturn.decisions.LearnedState;

/** Encodes and decodes snapshots as lines of text, and defines the version of the protocol. */
public final class HandoverCodec {
  /**
   * Must be increased when the format of the lines changes. Neither this nor the version of the
   * learned state is ever decreased, so that no sum of the two occurs twice.
   */
  private static final int LINE_FORMAT_VERSION = 1;

  /**
   * The version that the newer process sends first. A process does not hand over to one that has
   * another version of the lines or of the learned state.
   */
  static final int PROTOCOL_VERSION = LINE_FORMAT_VERSION + LearnedState.VERSION;

  private HandoverCodec() {}

  /** Returns the lines of a snapshot in the order in which they are sent. */
  static List<SnapshotLine> toLines(final HandoverSnapshot snapshot) {
    final LearnedState learned = snapshot.learnedState();
    final List<SnapshotLine> lines = new ArrayList<>();
    snapshot.endpoints().forEach(endpoint -> lines.add(new SnapshotLine.ListedEndpoint(endpoint)));
    lines.add(
        new SnapshotLine.ClassStatistics(
            learned.classMeanUs(), learned.classSamples(), learned.trustedIdleUs()));
    learned.routes().forEach(route -> lines.add(new SnapshotLine.LearnedRoute(route)));
    learned.endpoints().forEach(endpoint -> lines.add(new SnapshotLine.LearnedEndpoint(endpoint)));
    snapshot.calls().forEach(call -> lines.add(new SnapshotLine.RemoteCall(call)));
    lines.add(new SnapshotLine.SnapshotComplete());
    return lines;
  }

  /** Returns the lines of a snapshot as text. */
  public static List<String> encodeSnapshot(final HandoverSnapshot snapshot) {
    return toLines(snapshot).stream().map(HandoverLine::toText).toList();
  }

  /**
   * Reads the lines of a snapshot.
   *
   * @throws IOException if one of them cannot be read
   */
  public static HandoverSnapshot decodeSnapshot(final List<String> lines) throws IOException {
    final SnapshotAssembler assembler = new SnapshotAssembler();
    for (final String line : lines) {
      assembler.add(SnapshotLine.fromJson(Json.read(line)));
    }
    return assembler.toSnapshot();
  }

  /** Encodes and decodes a snapshot, and returns it as another process would receive it. */
  public static HandoverSnapshot encodeAndDecode(final HandoverSnapshot snapshot)
      throws IOException {
    return decodeSnapshot(encodeSnapshot(snapshot));
  }
}
