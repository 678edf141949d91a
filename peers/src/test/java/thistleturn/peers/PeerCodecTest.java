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
 * What is written is read as it was; what is damaged, strange or later is an error or passed over,
 * never anything else.
 */
@Tag("peers")
final class PeerCodecTest {
  private static final String NAME = "n".repeat(PeerId.MAX_NAME_LENGTH);
  private static final PeerId ID = new PeerId(NAME, Long.MAX_VALUE);
  private static final PeerId OTHER = new PeerId("b", 2);
  private static final String ADDRESS = "127.100.100.100:65535";
  private static final ViewId MARK = new ViewId(3, Long.MAX_VALUE, 9, 4);
  private static final PeerStatus WORD = new PeerStatus(LocalHealth.State.STARVED, 7, 8, true);
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
        new GossipItem.StatusUpdate(ID, Long.MAX_VALUE, WORD),
        new GossipItem.FullStateRequest(),
        new GossipItem.ViewDecision(MARK, CHANGE),
        new GossipItem.PaxosMessage(
            MARK, GossipItem.PaxosMessage.Type.ACCEPT_BOUND, Long.MAX_VALUE, -1, CHANGE),
        new GossipItem.PaxosMessage(MARK, GossipItem.PaxosMessage.Type.PREPARE, 17, -1, null));
  }

  private static Packet packet(final List<GossipItem> items) {
    return new Packet(ID, ADDRESS, 5, 6, MARK, 7, WORD, Packet.Type.PONG, 8, items);
  }

  @Test
  void writtenMessages_areReadBackEqual() throws IOException {
    assertEquals(packet(everyItem()), codec.readPacket(codec.write(packet(everyItem()))));
    final Packet look =
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
    assertEquals(look, codec.readPacket(codec.write(look)));
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
   * What the decisions reckon with is more than what it takes, so that a datagram that they fill
   * stays within its bound.
   */
  @Test
  void everyItem_fitsItsEstimatedSize() {
    final int empty = codec.write(packet(List.of())).length;
    for (final GossipItem item : everyItem()) {
      final int taken = codec.write(packet(List.of(item))).length - empty;
      assertTrue(
          taken <= item.maxBytes(),
          () -> item + " takes " + taken + " bytes, not " + item.maxBytes());
    }
    assertTrue(
        empty + Packet.MAX_ITEM_BYTES + MessageAuthenticator.TAG_BYTES
            <= DatagramTransport.MAX_DATAGRAM_BYTES,
        () -> "a head of " + empty + " bytes");
  }

  @Test
  void truncatedOrDamagedPacket_isError() throws IOException {
    final byte[] whole = codec.write(packet(everyItem()));
    for (int length = 0; length < whole.length; length++) {
      final byte[] cut = Arrays.copyOf(whole, length);
      assertThrows(IOException.class, () -> codec.readPacket(cut), () -> "cut to " + cut.length);
    }
    final Random random = new Random(7);
    int read = 0;
    for (int turn = 0; turn < 20_000; turn++) {
      final byte[] damaged = whole.clone();
      damaged[random.nextInt(whole.length)] = (byte) random.nextInt();
      try {
        assertNotNull(codec.readPacket(damaged));
        read++;
      } catch (final IOException e) {
        assertNotNull(e.getMessage());
      }
    }
    // Most of a datagram are letters and numbers, any of which can be another one: the seal is what
    // tells.
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
      for (final Object one : list) {
        write(out, one);
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
      final long version, final Object incarnation, final String address, final Object... more)
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
                    List.of(99L, "of a kind to come", List.of()), List.of(4L, "more to come"))));
    all.addAll(List.of(more));
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
    for (final byte[] strange :
        List.of(
            ofVersion(0, 5L, "127.0.0.1:1"),
            ofVersion(1, BigInteger.ONE.shiftLeft(63), "127.0.0.1:1"),
            ofVersion(1, 0L, "127.0.0.1:1"),
            ofVersion(1, -3L, "127.0.0.1:1"),
            ofVersion(1, "5", "127.0.0.1:1"),
            ofVersion(1, 5L, "somewhere.example:1"),
            ofVersion(1, 5L, "127.0.0.1:65536"),
            ofVersion(1, 5L, "127.0.0.256:1"),
            cbor("no datagram"),
            new byte[0])) {
      assertThrows(IOException.class, () -> codec.readPacket(strange));
    }
    assertThrows(
        IOException.class,
        () -> codec.readGreeting(cbor(1L, List.of("n".repeat(PeerId.MAX_NAME_LENGTH + 1), 5L))));
  }

  @Test
  void authenticationTag_matchesOneKeyAndOneText() {
    final MessageAuthenticator seal = new MessageAuthenticator("one fleet's key");
    final byte[] text = {1, 2, 3};
    final byte[] sealed = seal.sign(text);
    assertArrayEquals(text, seal.verify(sealed));
    assertNull(new MessageAuthenticator("another fleet's").verify(sealed));
    for (int at = 0; at < sealed.length; at++) {
      final byte[] damaged = sealed.clone();
      damaged[at] ^= 1;
      assertNull(seal.verify(damaged));
    }
    assertNull(seal.verify(Arrays.copyOf(sealed, MessageAuthenticator.TAG_BYTES)));
    assertNull(seal.verify(new byte[0]));
  }
}
