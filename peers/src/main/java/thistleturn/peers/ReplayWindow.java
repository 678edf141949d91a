package thistleturn.peers;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import thistleturn.decisions.peers.PeerId;

/**
 * Which of each sender's datagrams came already: one that comes twice, or far behind the latest, is
 * not let through again (the window of RFC 4303, section 3.4.3). Of a life that begins later,
 * nothing has come yet.
 */
final class ReplayWindow {
  /** How far behind the latest one may still come. */
  private static final int WINDOW_SIZE = 1024;

  /** Senders that are remembered. */
  private static final int MAX_SENDERS = 4096;

  private static final class SenderState {
    private long incarnation;
    private long highestSequence;
    private final BitSet received = new BitSet(WINDOW_SIZE);
  }

  private final Map<String, SenderState> senders = new HashMap<>();

  /** True the first time. */
  boolean recordIfNew(final PeerId sender, final long seq) {
    if (senders.size() >= MAX_SENDERS && !senders.containsKey(sender.name())) {
      senders.clear();
    }
    final SenderState seen = senders.computeIfAbsent(sender.name(), unused -> new SenderState());
    if (sender.incarnation() > seen.incarnation) {
      seen.incarnation = sender.incarnation();
      seen.highestSequence = 0;
      seen.received.clear();
    }
    if (sender.incarnation() < seen.incarnation
        || seq <= 0
        || seq <= seen.highestSequence - WINDOW_SIZE) {
      return false;
    }
    if (seq > seen.highestSequence) {
      for (long number = Math.max(seen.highestSequence + 1, seq - WINDOW_SIZE + 1);
          number <= seq;
          number++) {
        seen.received.clear((int) (number % WINDOW_SIZE));
      }
      seen.highestSequence = seq;
    }
    final int place = (int) (seq % WINDOW_SIZE);
    final boolean first = !seen.received.get(place);
    seen.received.set(place);
    return first;
  }
}
