package thistleturn.decisions.replicas;

import java.util.List;
import java.util.Map;

/** A message between stores. Each may be lost, duplicated, delayed or reordered. */
public sealed interface ReplicationMessage {
  /** Returns about how many bytes the message takes once it is encoded. */
  int estimatedBytes();

  /** New entries, sent at once; a receiver that misses earlier ones merges them all the same. */
  record EntryBroadcast(List<Delta> deltas) implements ReplicationMessage {
    private static final int FIXED_BYTES = 8;

    @Override
    public int estimatedBytes() {
      return FIXED_BYTES + bytesOf(deltas);
    }
  }

  /**
   * A checksum of all stored entries, which shows whether two stores are equal; and how many
   * entries there are.
   */
  record Checksum(long value, long entryCount) implements ReplicationMessage {
    private static final int BYTES = 24;

    @Override
    public int estimatedBytes() {
      return BYTES;
    }
  }

  /**
   * Up to which version the sender misses nothing of each writer of a partition; writers that are
   * not named are not known at all. It requests what is newer.
   *
   * @param partition which of {@code partitionCount}, from 0
   * @param replyRequested the receiver is to send a digest in its turn, if it misses something
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
   * What a digest showed to be missing, or the first of it; {@code hasMore}: the rest is to be
   * requested.
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
