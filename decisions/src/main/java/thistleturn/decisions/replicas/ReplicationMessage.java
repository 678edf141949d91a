package thistleturn.decisions.replicas;

import java.util.List;
import java.util.Map;

/** What copies tell each other. Each may be lost, doubled, late or out of order. */
public sealed interface ReplicationMessage {
  /** About how many bytes it takes on its way. */
  int estimatedBytes();

  /** Fresh entries, told at once; whoever lacks earlier ones takes them over all the same. */
  record EntryBroadcast(List<Delta> deltas) implements ReplicationMessage {
    @Override
    public int estimatedBytes() {
      return 8 + bytesOf(deltas);
    }
  }

  /**
   * A sum over all that is held, by which two copies see that they are equal; and how many entries
   * that is.
   */
  record Checksum(long value, long entryCount) implements ReplicationMessage {
    @Override
    public int estimatedBytes() {
      return 24;
    }
  }

  /**
   * What is known of some writers, or up to where a piece told of them: all those whose part it is.
   * It asks for what is newer; a writer of that part which is not named is not known at all.
   *
   * @param partition which of {@code partitionCount}, from 0
   * @param replyRequested the receiver is to tell in its turn what it knows, if it lacks something
   */
  record Digest(
      int partition, int partitionCount, Map<WriterId, Long> knownVersions, boolean replyRequested)
      implements ReplicationMessage {
    @Override
    public int estimatedBytes() {
      int bytes = 12;
      for (final WriterId writer : knownVersions.keySet()) {
        bytes += 20 + writer.name().length();
      }
      return bytes;
    }
  }

  /**
   * What a page showed to be lacking, or the first of it; {@code hasMore}: to be asked for again.
   */
  record DeltaBatch(int partition, int partitionCount, List<Delta> deltas, boolean hasMore)
      implements ReplicationMessage {
    @Override
    public int estimatedBytes() {
      return 12 + bytesOf(deltas);
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
