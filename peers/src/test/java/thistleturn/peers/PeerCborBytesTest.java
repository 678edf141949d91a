package thistleturn.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBufUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.peers.FullStateMessage;
import thistleturn.decisions.peers.GossipItem;
import thistleturn.decisions.peers.MembershipStatus;
import thistleturn.decisions.peers.Packet;
import thistleturn.decisions.peers.PeerId;
import thistleturn.decisions.peers.PeerState;
import thistleturn.decisions.peers.PeerStatus;
import thistleturn.decisions.peers.Reachability;
import thistleturn.decisions.peers.View;
import thistleturn.decisions.peers.ViewChange;
import thistleturn.decisions.peers.ViewId;
import thistleturn.decisions.peers.ViewMember;

/**
 * Pins the exact bytes of the messages between couriers of a fleet, and of the incarnation file.
 * Couriers of different versions exchange messages during an upgrade, so this test fails if a
 * change alters any of these bytes.
 */
@Tag("peers")
final class PeerCborBytesTest {
  private static final PeerId ALPHA = new PeerId("alpha", 1_700_000_000_000_001L);
  private static final PeerId BETA = new PeerId("beta", 2);
  private static final String ADDRESS = "127.0.0.1:7081";
  private static final ViewId VIEW_ID = new ViewId(3, 4, 5, 6);
  private static final PeerStatus STATUS = new PeerStatus(LocalHealth.State.STARVED, 700, 8, true);
  private static final ViewChange CHANGE =
      new ViewChange(List.of(BETA), List.of(new ViewMember(ALPHA, ADDRESS)));

  private final PeerCodec codec = new PeerCodec();

  private static String hex(final byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static String joined(final String hexLines) {
    return hexLines.replaceAll("\\s", "");
  }

  private static byte[] bytes(final String hexLines) {
    return HexFormat.of().parseHex(joined(hexLines));
  }

  private static Packet packet(
      final PeerId sender, final Packet.Type type, final GossipItem... items) {
    return new Packet(sender, ADDRESS, 9, 10, VIEW_ID, 11, STATUS, type, 12, List.of(items));
  }

  private void assertPacketBytes(final String hexLines, final Packet packet) throws IOException {
    assertEquals(joined(hexLines), hex(codec.write(packet)));
    assertEquals(packet, codec.readPacket(bytes(hexLines)));
  }

  private static Packet packetWith(final GossipItem item) {
    return new Packet(
        null,
        ADDRESS,
        0,
        0,
        ViewId.NONE,
        0,
        PeerStatus.UNREPORTED,
        Packet.Type.GOSSIP,
        0,
        List.of(item));
  }

  @Test
  void datagramWithoutItems_matchesRecordedBytes() throws IOException {
    assertPacketBytes(
        """
        9f019f65616c7068611b00060a24181e4001ff6e3132372e302e302e313a37303831090a9f030405
        06ff0b9f031902bc08f5ff010c9fffff
        """,
        packet(ALPHA, Packet.Type.PONG));
  }

  @Test
  void memberUpdateItem_matchesRecordedBytes() throws IOException {
    assertPacketBytes(
        """
        9f01f66e3132372e302e302e313a3730383100009f00000000ff009f000000f4ff02009f9f009f65
        616c7068611b00060a24181e4001ff6e3132372e302e302e313a3730383102ffffff
        """,
        packetWith(new GossipItem.MemberUpdate(ALPHA, ADDRESS, GossipItem.Liveness.DEAD)));
  }

  @Test
  void reachabilityReportItem_matchesRecordedBytes() throws IOException {
    assertPacketBytes(
        """
        9f01f66e3132372e302e302e313a3730383100009f00000000ff009f000000f4ff02009f9f019f65
        616c7068611b00060a24181e4001ff9f646265746102ff15021a0016e360ffffff
        """,
        packetWith(
            new GossipItem.ReachabilityReport(ALPHA, BETA, 21, Reachability.ENDED, 1_500_000)));
  }

  @Test
  void heartbeatItem_matchesRecordedBytes() throws IOException {
    assertPacketBytes(
        """
        9f01f66e3132372e302e302e313a3730383100009f00000000ff009f000000f4ff02009f9f029f64
        6265746102ff16ffffff
        """,
        packetWith(new GossipItem.Heartbeat(BETA, 22)));
  }

  @Test
  void statusUpdateItem_matchesRecordedBytes() throws IOException {
    assertPacketBytes(
        """
        9f01f66e3132372e302e302e313a3730383100009f00000000ff009f000000f4ff02009f9f039f64
        6265746102ff179f031902bc08f5ffffffff
        """,
        packetWith(new GossipItem.StatusUpdate(BETA, 23, STATUS)));
  }

  @Test
  void fullStateRequestItem_matchesRecordedBytes() throws IOException {
    assertPacketBytes(
        """
        9f01f66e3132372e302e302e313a3730383100009f00000000ff009f000000f4ff02009f9f04ffff
        ff
        """,
        packetWith(new GossipItem.FullStateRequest()));
  }

  @Test
  void viewDecisionItem_matchesRecordedBytes() throws IOException {
    assertPacketBytes(
        """
        9f01f66e3132372e302e302e313a3730383100009f00000000ff009f000000f4ff02009f9f059f03
        040506ff9f9f9f646265746102ffff9f9f9f65616c7068611b00060a24181e4001ff6e3132372e30
        2e302e313a37303831ffffffffffff
        """,
        packetWith(new GossipItem.ViewDecision(VIEW_ID, CHANGE)));
  }

  @Test
  void paxosMessageItemWithChange_matchesRecordedBytes() throws IOException {
    assertPacketBytes(
        """
        9f01f66e3132372e302e302e313a3730383100009f00000000ff009f000000f4ff02009f9f069f03
        040506ff03181f18209f9f9f646265746102ffff9f9f9f65616c7068611b00060a24181e4001ff6e
        3132372e302e302e313a37303831ffffffffffff
        """,
        packetWith(
            new GossipItem.PaxosMessage(
                VIEW_ID, GossipItem.PaxosMessage.Type.ACCEPT_BOUND, 31, 32, CHANGE)));
  }

  @Test
  void paxosMessageItemWithoutChange_matchesRecordedBytes() throws IOException {
    assertPacketBytes(
        """
        9f01f66e3132372e302e302e313a3730383100009f00000000ff009f000000f4ff02009f9f069f03
        040506ff00182120f6ffffff
        """,
        packetWith(
            new GossipItem.PaxosMessage(
                VIEW_ID, GossipItem.PaxosMessage.Type.PREPARE, 33, -1, null)));
  }

  @Test
  void fullStateFrame_matchesRecordedBytes() throws IOException {
    final View view =
        new View(
            3,
            4,
            5,
            List.of(new ViewMember(ALPHA, ADDRESS), new ViewMember(BETA, ADDRESS)),
            List.of(BETA));
    final FullStateMessage full =
        new FullStateMessage(ALPHA, ADDRESS, view, List.of(new GossipItem.Heartbeat(BETA, 22)));
    final String hexLines =
        """
        9f019f65616c7068611b00060a24181e4001ff6e3132372e302e302e313a373038319f0304059f9f
        9f65616c7068611b00060a24181e4001ff6e3132372e302e302e313a37303831ff9f9f6462657461
        02ff6e3132372e302e302e313a37303831ffff9f9f646265746102ffffff9f9f029f646265746102
        ff16ffffff
        """;
    assertEquals(joined(hexLines), hex(codec.write(full)));
    assertEquals(full, codec.readFullState(bytes(hexLines)));
  }

  @Test
  void fullStateFrameWithoutView_matchesRecordedBytes() throws IOException {
    final String hexLines =
        """
        9f019f65616c7068611b00060a24181e4001ff6e3132372e302e302e313a37303831f69fffff
        """;
    assertEquals(
        joined(hexLines), hex(codec.write(new FullStateMessage(ALPHA, ADDRESS, null, List.of()))));
    assertNull(codec.readFullState(bytes(hexLines)).view());
  }

  @Test
  void greetingFrame_matchesRecordedBytes() throws IOException {
    final String hexLines =
        """
        9f019f65616c7068611b00060a24181e4001ffff
        """;
    assertEquals(joined(hexLines), hex(codec.write(ALPHA)));
    assertEquals(ALPHA, codec.readGreeting(bytes(hexLines)));
  }

  @Test
  void piggybackDatagram_matchesRecordedBytes() throws IOException {
    final String hexLines =
        """
        ff9f019f65616c7068611b00060a24181e4001ff6e3132372e302e302e313a373038310d430102ff
        ff
        """;
    final byte[] payload = {1, 2, (byte) 0xFF};
    assertEquals(
        joined(hexLines), hex(codec.write(new PiggybackMessage(ALPHA, ADDRESS, 13, payload))));
    final PiggybackMessage read = codec.readPiggyback(bytes(hexLines));
    assertEquals(ALPHA, read.sender());
    assertEquals(ADDRESS, read.address());
    assertEquals(13, read.sequence());
    assertArrayEquals(payload, read.payload());
  }

  /** A frame: length, HMAC tag keyed with the fleet's key, type and payload. */
  @Test
  void signedFrame_matchesRecordedBytes() {
    final String hexLines =
        """
        00000015ada65b8c9c863c15077016be8ed5f1fd0274657874
        """;
    final byte[] payload = "text".getBytes(StandardCharsets.US_ASCII);
    assertEquals(
        joined(hexLines),
        ByteBufUtil.hexDump(
            FrameHandler.encodeFrame(
                new MessageAuthenticator("fleet key"), FrameHandler.FULL_STATE, payload)));
    assertEquals(
        "0274657874",
        hex(new MessageAuthenticator("fleet key").verify(bytes(joined(hexLines).substring(8)))));
  }

  @Test
  void frameTypes_matchRecordedNumbers() {
    assertEquals(
        List.of((byte) 1, (byte) 2, (byte) 3),
        List.of(FrameHandler.GREETING, FrameHandler.FULL_STATE, FrameHandler.PIGGYBACK));
  }

  /**
   * These constants are written by their ordinals, so their order is fixed and new ones are
   * appended.
   */
  @Test
  void enumsWrittenByOrdinal_keepTheirOrder() {
    assertEquals(
        List.of(Packet.Type.PING, Packet.Type.PONG, Packet.Type.GOSSIP),
        List.of(Packet.Type.values()));
    assertEquals(
        List.of(GossipItem.Liveness.ALIVE, GossipItem.Liveness.LEFT, GossipItem.Liveness.DEAD),
        List.of(GossipItem.Liveness.values()));
    assertEquals(
        List.of(Reachability.HEARD, Reachability.SILENT, Reachability.ENDED),
        List.of(Reachability.values()));
    assertEquals(
        List.of(
            GossipItem.PaxosMessage.Type.PREPARE,
            GossipItem.PaxosMessage.Type.PROMISE,
            GossipItem.PaxosMessage.Type.ACCEPT,
            GossipItem.PaxosMessage.Type.ACCEPT_BOUND,
            GossipItem.PaxosMessage.Type.ACCEPTED,
            GossipItem.PaxosMessage.Type.REJECT),
        List.of(GossipItem.PaxosMessage.Type.values()));
    assertEquals(
        List.of(
            LocalHealth.State.WELL,
            LocalHealth.State.LATE,
            LocalHealth.State.AWAY,
            LocalHealth.State.STARVED,
            LocalHealth.State.CUT_OFF),
        List.of(LocalHealth.State.values()));
  }

  /** The operators' JSON contains these names in lower case. */
  @Test
  void enumsWrittenByName_keepTheirNames() {
    assertEquals(
        "[FORMING, MAJORITY, MINORITY, ALONE, CONFLICT]",
        List.of(MembershipStatus.values()).toString());
    assertEquals(
        "[JOINING, ALIVE, PARTLY, SUSPECT, DEAD, LEFT]", List.of(PeerState.values()).toString());
    assertEquals("[HEARD, SILENT, ENDED]", List.of(Reachability.values()).toString());
    assertEquals(
        "[WELL, LATE, AWAY, STARVED, CUT_OFF]", List.of(LocalHealth.State.values()).toString());
  }

  /** The log and the operators' JSON contain a peer's id in this form. */
  @Test
  void peerId_isFormattedAsNameAndIncarnation() {
    assertEquals("alpha#1700000000000001", ALPHA.toString());
  }

  @Test
  void incarnationFile_storesNumberAsText(@TempDir final Path folder) throws IOException {
    final Path path = folder.resolve("peers.incarnation");
    final IncarnationFile file = new IncarnationFile(folder);
    assertEquals(1_700_000_000_000_001L, file.next(1_700_000_000_000_001L));
    assertEquals("1700000000000001", Files.readString(path));
    Files.writeString(path, "1700000000000005");
    assertEquals(1_700_000_000_000_006L, file.next(7));
    assertEquals("1700000000000006", Files.readString(path));
  }
}
