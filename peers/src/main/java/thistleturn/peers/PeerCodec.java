package thistleturn.peers;

import java.io.IOException;
import thistleturn.decisions.peers.FullStateMessage;
import thistleturn.decisions.peers.Packet;
import thistleturn.decisions.peers.PeerId;
import thistleturn.peers.cbor.Cbor;

/**
 * Encodes and decodes the datagrams and frames between peers as CBOR: arrays with fixed positions,
 * each with its version first. A reader reads the values that it knows from the start of an array,
 * skips values appended by a later version, and skips items of unknown types.
 */
final class PeerCodec {
  /** The version that is written. A reader rejects only versions below {@link #MIN_VERSION}. */
  static final int VERSION = 1;

  private static final int MIN_VERSION = 1;
  private static final int INITIAL_BUFFER_BYTES = 512;

  /**
   * Precedes a piggyback message. No array starts with this byte, which is a stop code (RFC 8949,
   * table 5). A reader that does not know it rejects the datagram as malformed.
   */
  private static final byte PIGGYBACK_PREFIX = (byte) 0xFF;

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

  /** Returns the payload of a full-state frame. */
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

  /** Reads the payload of a full-state frame. */
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

  /** Returns the payload of a datagram or frame that carries another subsystem's bytes. */
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
    final byte[] prefixed = new byte[array.length + 1];
    prefixed[0] = PIGGYBACK_PREFIX;
    System.arraycopy(array, 0, prefixed, 1, array.length);
    return prefixed;
  }

  /** Returns true for a payload that carries another subsystem's bytes. */
  static boolean isPiggyback(final byte[] payload) {
    return payload.length > 0 && payload[0] == PIGGYBACK_PREFIX;
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

  /** Returns the payload of a greeting frame. */
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

  /** Reads the payload of a greeting frame. */
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
