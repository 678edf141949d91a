package thistleturn.replicas;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import thistleturn.decisions.replicas.ReplicationMessage;
import thistleturn.peers.cbor.Cbor;

/**
 * Encodes messages between replicas as CBOR arrays of positional values, each with its version
 * first. A reader skips values that a later version appended.
 */
final class ReplicaCodec {
  /** The version that is written. A reader rejects only versions below {@link #MIN_VERSION}. */
  static final int VERSION = 1;

  private static final int MIN_VERSION = 1;
  private static final int INITIAL_BUFFER_BYTES = 1024;

  /** Type codes of messages on the wire. */
  private static final int ENTRY_BROADCAST = 1;

  private static final int CHECKSUM = 2;
  private static final int DIGEST = 3;
  private static final int DELTA_BATCH = 4;

  /** Encodes a message that is sent now. */
  byte[] write(final ReplicationMessage message, final long nowUs) {
    return Cbor.encode(
        INITIAL_BUFFER_BYTES,
        out -> {
          out.writeStartArray();
          out.writeNumber(VERSION);
          writeBody(out, message, nowUs);
          out.writeEndArray();
        });
  }

  private static void writeBody(
      final CBORGenerator out, final ReplicationMessage message, final long nowUs)
      throws IOException {
    if (message instanceof ReplicationMessage.EntryBroadcast broadcast) {
      out.writeNumber(ENTRY_BROADCAST);
      EntryWriter.writeDeltas(out, broadcast.deltas(), nowUs);
    } else if (message instanceof ReplicationMessage.Checksum checksum) {
      out.writeNumber(CHECKSUM);
      out.writeNumber(checksum.value());
      out.writeNumber(checksum.entryCount());
    } else if (message instanceof ReplicationMessage.Digest digest) {
      out.writeNumber(DIGEST);
      out.writeNumber(digest.partition());
      out.writeNumber(digest.partitionCount());
      out.writeBoolean(digest.replyRequested());
      EntryWriter.writeKnownVersions(out, digest.knownVersions());
    } else if (message instanceof ReplicationMessage.DeltaBatch batch) {
      out.writeNumber(DELTA_BATCH);
      out.writeNumber(batch.partition());
      out.writeNumber(batch.partitionCount());
      out.writeBoolean(batch.hasMore());
      EntryWriter.writeDeltas(out, batch.deltas(), nowUs);
    }
  }

  /**
   * Decodes a message that was received now.
   *
   * @return the message, or null if its type is unknown in this version
   */
  ReplicationMessage read(final byte[] bytes, final long nowUs) throws IOException {
    try (EntryReader in = new EntryReader(bytes, nowUs)) {
      in.beginArray();
      in.version(MIN_VERSION);
      final ReplicationMessage message = readBody(in, in.number());
      in.endArray();
      return message;
    }
  }

  private static ReplicationMessage readBody(final EntryReader in, final long type)
      throws IOException {
    if (type == ENTRY_BROADCAST) {
      return new ReplicationMessage.EntryBroadcast(in.deltas());
    }
    if (type == CHECKSUM) {
      return new ReplicationMessage.Checksum(in.number(), in.number());
    }
    if (type == DIGEST) {
      return readDigest(in);
    }
    if (type == DELTA_BATCH) {
      return readDeltaBatch(in);
    }
    return null;
  }

  private static ReplicationMessage readDigest(final EntryReader in) throws IOException {
    final int partition = in.nonNegativeInt();
    final int partitionCount = in.nonNegativeInt();
    final boolean replyRequested = in.flag();
    return new ReplicationMessage.Digest(
        partition, partitionCount, in.knownVersions(), replyRequested);
  }

  private static ReplicationMessage readDeltaBatch(final EntryReader in) throws IOException {
    final int partition = in.nonNegativeInt();
    final int partitionCount = in.nonNegativeInt();
    final boolean hasMore = in.flag();
    return new ReplicationMessage.DeltaBatch(partition, partitionCount, in.deltas(), hasMore);
  }
}
