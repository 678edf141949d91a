package thistleturn.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.peers.FullStateMessage;
import thistleturn.decisions.peers.GossipItem;
import thistleturn.decisions.peers.Packet;
import thistleturn.decisions.peers.PeerId;
import thistleturn.decisions.peers.PeerStatus;
import thistleturn.decisions.peers.Reachability;
import thistleturn.decisions.peers.View;
import thistleturn.decisions.peers.ViewChange;
import thistleturn.decisions.peers.ViewId;
import thistleturn.decisions.peers.ViewMember;

/**
 * Written messages are read back equal. Damaged and invalid input is an {@link IOException}; the
 * additions of later versions are skipped.
 */
@Tag("peers")
final class PeerCodecTest {
  private static final String NAME = "n".repeat(PeerId.MAX_NAME_LENGTH);
  private static final PeerId ID = new PeerId(NAME, Long.MAX_VALUE);
  private static final PeerId OTHER = new PeerId("b", 2);
  private static final String ADDRESS = "127.100.100.100:65535";
  private static final ViewId VIEW_ID = new ViewId(3, Long.MAX_VALUE, 9, 4);
  private static final PeerStatus STATUS = new PeerStatus(LocalHealth.State.STARVED, 7, 8, true);
  private static final ViewChange CHANGE =
      new ViewChange(
          List.of(ID, OTHER), List.of(new ViewMember(ID, ADDRESS), new ViewMember(OTHER, ADDRESS)));

  private final PeerCodec codec = new PeerCodec();

  private static List<GossipItem> everyItem() {
    return List.of(
        new GossipItem.MemberUpdate(ID, ADDRESS, GossipItem.Liveness.LEFT),
        new GossipItem.ReachabilityReport(
            ID, OTHER, Long.MAX_VALUE, Reachability.ENDED, 123_456_789),
        new GossipItem.Heartbeat(ID, Long.MAX_VALUE),
        new GossipItem.StatusUpdate(ID, Long.MAX_VALUE, STATUS),
        new GossipItem.FullStateRequest(),
        new GossipItem.ViewDecision(VIEW_ID, CHANGE),
        new GossipItem.PaxosMessage(
            VIEW_ID, GossipItem.PaxosMessage.Type.ACCEPT_BOUND, Long.MAX_VALUE, -1, CHANGE),
        new GossipItem.PaxosMessage(VIEW_ID, GossipItem.PaxosMessage.Type.PREPARE, 17, -1, null));
  }

  private static Packet packet(final List<GossipItem> items) {
    return new Packet(ID, ADDRESS, 5, 6, VIEW_ID, 7, STATUS, Packet.Type.PONG, 8, items);
  }

  @Test
  void writtenMessages_areReadBackEqual() throws IOException {
    assertEquals(packet(everyItem()), codec.readPacket(codec.write(packet(everyItem()))));
    final Packet anonymousProbe =
        new Packet(
            null,
            ADDRESS,
            1,
            0,
            ViewId.NONE,
            0,
            PeerStatus.UNREPORTED,
            Packet.Type.PING,
            0,
            List.of());
    assertEquals(anonymousProbe, codec.readPacket(codec.write(anonymousProbe)));
    final View view =
        new View(
            3,
            4,
            5,
            List.of(new ViewMember(OTHER, ADDRESS), new ViewMember(ID, ADDRESS)),
            List.of(ID, OTHER));
    final FullStateMessage full = new FullStateMessage(ID, ADDRESS, view, everyItem());
    assertEquals(full, codec.readFullState(codec.write(full)));
    assertNull(
        codec
            .readFullState(codec.write(new FullStateMessage(ID, ADDRESS, null, List.of())))
            .view());
    assertEquals(ID, codec.readGreeting(codec.write(ID)));
  }

  /**
   * The size estimates of {@code decisions.peers} are upper bounds of the encoded sizes, so that a
   * datagram filled by them stays within its limit.
   */
  @Test
  void everyItem_fitsItsEstimatedSize() {
    final int empty = codec.write(packet(List.of())).length;
    for (final GossipItem item : everyItem()) {
      final int encodedSize = codec.write(packet(List.of(item))).length - empty;
      assertTrue(
          encodedSize <= item.maxBytes(),
          () -> item + " takes " + encodedSize + " bytes, more than " + item.maxBytes());
    }
    assertTrue(
        empty + Packet.MAX_ITEM_BYTES + MessageAuthenticator.TAG_BYTES
            <= DatagramTransport.MAX_DATAGRAM_BYTES,
        () -> "header of " + empty + " bytes");
  }

  @Test
  void truncatedOrDamagedPacket_isError() throws IOException {
    final byte[] encoded = codec.write(packet(everyItem()));
    for (int length = 0; length < encoded.length; length++) {
      final byte[] truncated = Arrays.copyOf(encoded, length);
      assertThrows(
          IOException.class,
          () -> codec.readPacket(truncated),
          () -> "truncated to " + truncated.length);
    }
    final Random random = new Random(7);
    int read = 0;
    for (int trial = 0; trial < 20_000; trial++) {
      final byte[] damaged = encoded.clone();
      damaged[random.nextInt(encoded.length)] = (byte) random.nextInt();
      try {
        assertNotNull(codec.readPacket(damaged));
        read++;
      } catch (final IOException e) {
        assertNotNull(e.getMessage());
      }
    }
    // Most bytes of a datagram are letters and numbers, and a changed one is still valid: only the
    // authentication tag detects such damage.
    assertTrue(read > 0);
  }

  private static byte[] cbor(final Object... values) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (CBORGenerator out = new CBORFactory().createGenerator(bytes)) {
      write(out, List.of(values));
    }
    return bytes.toByteArray();
  }

  private static void write(final CBORGenerator out, final Object value) throws IOException {
    if (value instanceof List<?> list) {
      out.writeStartArray();
      for (final Object element : list) {
        write(out, element);
      }
      out.writeEndArray();
    } else if (value instanceof BigInteger number) {
      out.writeNumber(number);
    } else if (value instanceof Number number) {
      out.writeNumber(number.longValue());
    } else if (value instanceof Boolean flag) {
      out.writeBoolean(flag);
    } else {
      out.writeString(value.toString());
    }
  }

  private static byte[] ofVersion(
      final long version, final Object incarnation, final String address, final Object... appended)
      throws IOException {
    final List<Object> all =
        new ArrayList<>(
            List.of(
                version,
                List.of("a", incarnation),
                address,
                5L,
                6L,
                List.of(1L, 2L, 3L, 4L),
                7L,
                List.of(0L, 0L, 0L, false),
                1L,
                8L,
                List.of(
                    List.of(99L, "item of a later type", List.of()),
                    List.of(4L, "field of a later version"))));
    all.addAll(List.of(appended));
    return cbor(all.toArray());
  }

  @Test
  void laterVersion_isReadAsFarAsKnown() throws IOException {
    final Packet packet =
        codec.readPacket(ofVersion(2, 5L, "127.0.0.1:7081", "added later", List.of(1L)));
    assertEquals(new PeerId("a", 5), packet.sender());
    assertEquals(List.of(new GossipItem.FullStateRequest()), packet.items());
  }

  @Test
  void invalidValues_areRejected() throws IOException {
    for (final byte[] invalid :
        List.of(
            ofVersion(0, 5L, "127.0.0.1:1"),
            ofVersion(1, BigInteger.ONE.shiftLeft(63), "127.0.0.1:1"),
            ofVersion(1, 0L, "127.0.0.1:1"),
            ofVersion(1, -3L, "127.0.0.1:1"),
            ofVersion(1, "5", "127.0.0.1:1"),
            ofVersion(1, 5L, "somewhere.example:1"),
            ofVersion(1, 5L, "127.0.0.1:65536"),
            ofVersion(1, 5L, "127.0.0.256:1"),
            cbor("not a datagram"),
            new byte[0])) {
      assertThrows(IOException.class, () -> codec.readPacket(invalid));
    }
    assertThrows(
        IOException.class,
        () -> codec.readGreeting(cbor(1L, List.of("n".repeat(PeerId.MAX_NAME_LENGTH + 1), 5L))));
  }

  @Test
  void authenticationTag_matchesOnlyItsKeyAndPayload() {
    final MessageAuthenticator authenticator = new MessageAuthenticator("one fleet's key");
    final byte[] payload = {1, 2, 3};
    final byte[] signed = authenticator.sign(payload);
    assertArrayEquals(payload, authenticator.verify(signed));
    assertNull(new MessageAuthenticator("another fleet's").verify(signed));
    for (int index = 0; index < signed.length; index++) {
      final byte[] damaged = signed.clone();
      damaged[index] ^= 1;
      assertNull(authenticator.verify(damaged));
    }
    assertNull(authenticator.verify(Arrays.copyOf(signed, MessageAuthenticator.TAG_BYTES)));
    assertNull(authenticator.verify(new byte[0]));
  }
}
