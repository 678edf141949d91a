package thistleturn.peers;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import thistleturn.decisions.peers.PeerId;

/**
 * Detects replayed messages: a message is not new if its sequence number was received before, or is
 * behind the window that ends at the highest one (RFC 4303, section 3.4.3). Each incarnation of a
 * sender has its own sequence numbers; messages of an earlier incarnation are never new.
 */
final class ReplayWindow {
  /** How far behind the highest sequence number a new message may be. */
  private static final int WINDOW_SIZE = 1024;

  /** The maximum number of senders that are tracked. */
  private static final int MAX_SENDERS = 4096;

  private static final class SenderState {
    private long incarnation;
    private long highestSequence;

    /** The received sequence numbers of the window, indexed modulo {@link #WINDOW_SIZE}. */
    private final BitSet received = new BitSet(WINDOW_SIZE);

    private void reset(final long newIncarnation) {
      incarnation = newIncarnation;
      highestSequence = 0;
      received.clear();
    }

    private void advanceTo(final long sequence) {
      final long firstUnseen = Math.max(highestSequence + 1, sequence - WINDOW_SIZE + 1);
      for (long unseen = firstUnseen; unseen <= sequence; unseen++) {
        received.clear((int) (unseen % WINDOW_SIZE));
      }
      highestSequence = sequence;
    }

    /** Marks a sequence number as received; returns true the first time. */
    private boolean markReceived(final long sequence) {
      final int position = (int) (sequence % WINDOW_SIZE);
      final boolean first = !received.get(position);
      received.set(position);
      return first;
    }
  }

  private final Map<String, SenderState> senders = new HashMap<>();

  /** Records a message; returns true if it is new. */
  boolean recordIfNew(final PeerId sender, final long sequence) {
    if (senders.size() >= MAX_SENDERS && !senders.containsKey(sender.name())) {
      senders.clear();
    }
    final SenderState state = senders.computeIfAbsent(sender.name(), unused -> new SenderState());
    if (sender.incarnation() > state.incarnation) {
      state.reset(sender.incarnation());
    }
    if (sender.incarnation() < state.incarnation
        || sequence <= 0
        || sequence <= state.highestSequence - WINDOW_SIZE) {
      return false;
    }
    if (sequence > state.highestSequence) {
      state.advanceTo(sequence);
    }
    return state.markReceived(sequence);
  }
}
