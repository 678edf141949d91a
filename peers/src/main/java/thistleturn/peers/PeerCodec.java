package thistleturn.peers;

import java.io.IOException;
import thistleturn.decisions.peers.FullStateMessage;
import thistleturn.decisions.peers.Packet;
import thistleturn.decisions.peers.PeerId;
import thistleturn.peers.cbor.Cbor;

/**
 * Datagrams and frames of the exchange between peers as CBOR: arrays by place, each with its
 * version first. A reader takes the values that it knows from the front of an array, skips what a
 * later version has appended, and skips items of types that it does not know.
 */
final class PeerCodec {
  /** The version that is written. A reader rejects only versions below {@link #MIN_VERSION}. */
  static final int VERSION = 1;

  private static final int MIN_VERSION = 1;
  private static final int INITIAL_BUFFER_BYTES = 512;

  /**
   * Precedes a piggyback message. No array begins with it: it is a stop code (RFC 8949, table 5). A
   * reader that does not know it takes the datagram for malformed.
   */
  private static final byte PIGGYBACK_MARK = (byte) 0xFF;

  /** Returns the payload of a datagram. */
  byte[] write(final Packet packet) {
    return Cbor.encode(
        INITIAL_BUFFER_BYTES,
        out -> {
          out.writeStartArray();
          out.writeNumber(VERSION);
          PeerWriter.writeId(out, packet.sender());
          out.writeString(packet.address());
          out.writeNumber(packet.sequence());
          out.writeNumber(packet.heartbeat());
          PeerWriter.writeViewId(out, packet.viewId());
          out.writeNumber(packet.statusVersion());
          PeerWriter.writeStatus(out, packet.status());
          out.writeNumber(packet.type().ordinal());
          out.writeNumber(packet.echoedSequence());
          GossipItemWriter.writeItems(out, packet.items());
          out.writeEndArray();
        });
  }

  /** Reads the payload of a datagram. */
  Packet readPacket(final byte[] payload) throws IOException {
    try (PeerReader in = new PeerReader(payload)) {
      in.beginArray();
      in.version(MIN_VERSION);
      final Packet packet =
          new Packet(
              in.idOrNull(),
              in.address(),
              in.number(),
              in.number(),
              in.viewId(),
              in.number(),
              in.status(),
              in.oneOf(Packet.Type.values()),
              in.number(),
              in.items());
      in.endArray();
      return packet;
    }
  }

  /** Returns the payload of a frame with all that a peer knows. */
  byte[] write(final FullStateMessage message) {
    return Cbor.encode(
        INITIAL_BUFFER_BYTES,
        out -> {
          out.writeStartArray();
          out.writeNumber(VERSION);
          PeerWriter.writeId(out, message.sender());
          out.writeString(message.address());
          PeerWriter.writeView(out, message.view());
          GossipItemWriter.writeItems(out, message.items());
          out.writeEndArray();
        });
  }

  /** Reads the payload of a frame with all that a peer knows. */
  FullStateMessage readFullState(final byte[] payload) throws IOException {
    try (PeerReader in = new PeerReader(payload)) {
      in.beginArray();
      in.version(MIN_VERSION);
      final FullStateMessage message =
          new FullStateMessage(in.id(), in.address(), in.viewOrNull(), in.items());
      in.endArray();
      return message;
    }
  }

  /** Returns the payload of a datagram, or of a frame, that carries another subsystem's bytes. */
  byte[] write(final PiggybackMessage message) {
    final byte[] array =
        Cbor.encode(
            INITIAL_BUFFER_BYTES,
            out -> {
              out.writeStartArray();
              out.writeNumber(VERSION);
              PeerWriter.writeId(out, message.sender());
              out.writeString(message.address());
              out.writeNumber(message.sequence());
              out.writeBinary(message.payload());
              out.writeEndArray();
            });
    final byte[] marked = new byte[array.length + 1];
    marked[0] = PIGGYBACK_MARK;
    System.arraycopy(array, 0, marked, 1, array.length);
    return marked;
  }

  /** True for a payload that carries another subsystem's bytes. */
  static boolean isPiggyback(final byte[] payload) {
    return payload.length > 0 && payload[0] == PIGGYBACK_MARK;
  }

  /** Reads a payload that carries another subsystem's bytes. */
  PiggybackMessage readPiggyback(final byte[] payload) throws IOException {
    try (PeerReader in = new PeerReader(payload, 1, payload.length - 1)) {
      in.beginArray();
      in.version(MIN_VERSION);
      final PiggybackMessage message =
          new PiggybackMessage(in.id(), in.address(), in.number(), in.binary());
      in.endArray();
      return message;
    }
  }

  /** Returns the payload of a frame with a greeting. */
  byte[] write(final PeerId greeting) {
    return Cbor.encode(
        INITIAL_BUFFER_BYTES,
        out -> {
          out.writeStartArray();
          out.writeNumber(VERSION);
          PeerWriter.writeId(out, greeting);
          out.writeEndArray();
        });
  }

  /** Reads the payload of a frame with a greeting. */
  PeerId readGreeting(final byte[] payload) throws IOException {
    try (PeerReader in = new PeerReader(payload)) {
      in.beginArray();
      in.version(MIN_VERSION);
      final PeerId id = in.id();
      in.endArray();
      return id;
    }
  }
}
