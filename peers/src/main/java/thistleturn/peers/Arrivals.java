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
final class Arrivals {
  /** How far behind the latest one may still come. */
  private static final int WINDOW = 1024;

  /** Senders that are remembered. */
  private static final int MOST = 4096;

  private static final class Seen {
    private long incarnation;
    private long latest;
    private final BitSet came = new BitSet(WINDOW);
  }

  private final Map<String, Seen> senders = new HashMap<>();

  /** True the first time. */
  boolean isNew(final PeerId sender, final long seq) {
    if (senders.size() >= MOST && !senders.containsKey(sender.name())) {
      senders.clear();
    }
    final Seen seen = senders.computeIfAbsent(sender.name(), unused -> new Seen());
    if (sender.incarnation() > seen.incarnation) {
      seen.incarnation = sender.incarnation();
      seen.latest = 0;
      seen.came.clear();
    }
    if (sender.incarnation() < seen.incarnation || seq <= 0 || seq <= seen.latest - WINDOW) {
      return false;
    }
    if (seq > seen.latest) {
      for (long number = Math.max(seen.latest + 1, seq - WINDOW + 1); number <= seq; number++) {
        seen.came.clear((int) (number % WINDOW));
      }
      seen.latest = seq;
    }
    final int place = (int) (seq % WINDOW);
    final boolean first = !seen.came.get(place);
    seen.came.set(place);
    return first;
  }
}
