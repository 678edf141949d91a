package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The entries that another courier is missing, limited to a number of bytes.
 *
 * @param deltas the missing entries, the earliest of each writer first
 * @param hasMore true if not all of them fit
 */
record MissingEntries(List<Delta> deltas, boolean hasMore) {
  private static final int DELTA_BYTES = 30;

  /** Collects the missing entries, log by log. */
  static final class Collector {
    private final Map<WriterId, Long> theirVersions;
    private final int maxBytes;
    private final long nowUs;
    private final List<Delta> deltas = new ArrayList<>();
    private int bytes;
    private boolean isFull;

    /**
     * Creates a collector.
     *
     * @param theirVersions for each writer the version up to which the other courier is missing
     *     nothing; 0 if absent
     */
    Collector(final Map<WriterId, Long> theirVersions, final int maxBytes, final long nowUs) {
      this.theirVersions = theirVersions;
      this.maxBytes = maxBytes;
      this.nowUs = nowUs;
    }

    /** Adds the missing entries of a log. Returns false once nothing more fits. */
    boolean add(final WriterId writer, final WriterLog log) {
      final long theirs = theirVersions.getOrDefault(writer, 0L);
      if (log.contiguousVersion() <= theirs && log.lastVersion() <= theirs) {
        return true;
      }
      final List<Entry> entries = new ArrayList<>();
      for (final StoredEntry stored : log.after(theirs)) {
        if (bytes >= maxBytes) {
          isFull = true;
          break;
        }
        if (stored.entry().expiresUs() > nowUs) {
          entries.add(stored.entry());
          bytes += stored.entry().estimatedBytes();
        }
      }
      if (!isFull) {
        // Entries after a gap that a lost writer left are included, but do not raise the version up
        // to which nothing is missing.
        addDelta(writer, theirs, log.contiguousVersion(), entries);
        bytes += DELTA_BYTES;
      } else if (!entries.isEmpty()) {
        final long lastVersion = entries.get(entries.size() - 1).version();
        addDelta(writer, theirs, Math.min(log.contiguousVersion(), lastVersion), entries);
      }
      return !isFull;
    }

    private void addDelta(
        final WriterId writer,
        final long theirs,
        final long upToVersion,
        final List<Entry> entries) {
      deltas.add(new Delta(writer, Math.min(theirs, upToVersion), upToVersion, entries));
    }

    MissingEntries result() {
      return new MissingEntries(deltas, isFull);
    }
  }
}
