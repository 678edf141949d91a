package thistleturn.decisions.replicas;

import java.util.List;
import java.util.Map;

/** A message between stores. Each may be lost, duplicated, delayed or reordered. */
public sealed interface ReplicationMessage {
  /** Returns about how many bytes the message takes once it is encoded. */
  int estimatedBytes();

  /** New entries, sent immediately; a receiver merges them even if it lacks earlier ones. */
  record EntryBroadcast(List<Delta> deltas) implements ReplicationMessage {
    private static final int FIXED_BYTES = 8;

    @Override
    public int estimatedBytes() {
      return FIXED_BYTES + bytesOf(deltas);
    }
  }

  /**
   * A checksum of all stored entries, which shows whether two stores are equal, and the number of
   * entries.
   */
  record Checksum(long value, long entryCount) implements ReplicationMessage {
    private static final int BYTES = 24;

    @Override
    public int estimatedBytes() {
      return BYTES;
    }
  }

  /**
   * For each writer of a partition, the version up to which the sender is missing nothing; writers
   * that are absent are unknown to it. A digest requests all newer entries.
   *
   * @param partition index of the partition, below {@code partitionCount}
   * @param replyRequested true if the receiver should send a digest in return if it is missing
   *     entries
   */
  record Digest(
      int partition, int partitionCount, Map<WriterId, Long> knownVersions, boolean replyRequested)
      implements ReplicationMessage {
    private static final int FIXED_BYTES = 12;
    private static final int WRITER_BYTES = 20;

    @Override
    public int estimatedBytes() {
      int bytes = FIXED_BYTES;
      for (final WriterId writer : knownVersions.keySet()) {
        bytes += WRITER_BYTES + writer.name().length();
      }
      return bytes;
    }
  }

  /**
   * The entries that a digest showed to be missing, or the first of them; {@code hasMore} is true
   * if the rest must be requested.
   */
  record DeltaBatch(int partition, int partitionCount, List<Delta> deltas, boolean hasMore)
      implements ReplicationMessage {
    private static final int FIXED_BYTES = 12;

    @Override
    public int estimatedBytes() {
      return FIXED_BYTES + bytesOf(deltas);
    }
  }

  private static int bytesOf(final List<Delta> deltas) {
    int bytes = 0;
    for (final Delta delta : deltas) {
      bytes += delta.estimatedBytes();
    }
    return bytes;
  }
}
