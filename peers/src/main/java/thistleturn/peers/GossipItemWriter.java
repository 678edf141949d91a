package thistleturn.peers;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import thistleturn.decisions.peers.GossipItem;

/** Writes gossip items, each as an array that starts with its {@link GossipItemType}. */
final class GossipItemWriter {
  private GossipItemWriter() {}

  static void writeItems(final CBORGenerator out, final List<GossipItem> items) throws IOException {
    out.writeStartArray();
    for (final GossipItem item : items) {
      out.writeStartArray();
      writeItem(out, item);
      out.writeEndArray();
    }
    out.writeEndArray();
  }

  private static void writeItem(final CBORGenerator out, final GossipItem item) throws IOException {
    if (item instanceof GossipItem.MemberUpdate update) {
      writeMemberUpdate(out, update);
    } else if (item instanceof GossipItem.ReachabilityReport report) {
      writeReachabilityReport(out, report);
    } else if (item instanceof GossipItem.Heartbeat heartbeat) {
      writeHeartbeat(out, heartbeat);
    } else if (item instanceof GossipItem.StatusUpdate update) {
      writeStatusUpdate(out, update);
    } else if (item instanceof GossipItem.FullStateRequest) {
      writeType(out, GossipItemType.FULL_STATE_REQUEST);
    } else if (item instanceof GossipItem.ViewDecision decision) {
      writeViewDecision(out, decision);
    } else if (item instanceof GossipItem.PaxosMessage message) {
      writePaxosMessage(out, message);
    }
  }

  private static void writeType(final CBORGenerator out, final GossipItemType type)
      throws IOException {
    out.writeNumber(type.ordinal());
  }

  private static void writeMemberUpdate(
      final CBORGenerator out, final GossipItem.MemberUpdate update) throws IOException {
    writeType(out, GossipItemType.MEMBER_UPDATE);
    PeerWriter.writeId(out, update.id());
    out.writeString(update.address());
    out.writeNumber(update.liveness().ordinal());
  }

  private static void writeReachabilityReport(
      final CBORGenerator out, final GossipItem.ReachabilityReport report) throws IOException {
    writeType(out, GossipItemType.REACHABILITY_REPORT);
    PeerWriter.writeId(out, report.observer());
    PeerWriter.writeId(out, report.subject());
    out.writeNumber(report.version());
    out.writeNumber(report.reachability().ordinal());
    out.writeNumber(report.ageUs());
  }

  private static void writeHeartbeat(final CBORGenerator out, final GossipItem.Heartbeat heartbeat)
      throws IOException {
    writeType(out, GossipItemType.HEARTBEAT);
    PeerWriter.writeId(out, heartbeat.id());
    out.writeNumber(heartbeat.count());
  }

  private static void writeStatusUpdate(
      final CBORGenerator out, final GossipItem.StatusUpdate update) throws IOException {
    writeType(out, GossipItemType.STATUS_UPDATE);
    PeerWriter.writeId(out, update.id());
    out.writeNumber(update.version());
    PeerWriter.writeStatus(out, update.status());
  }

  private static void writeViewDecision(
      final CBORGenerator out, final GossipItem.ViewDecision decision) throws IOException {
    writeType(out, GossipItemType.VIEW_DECISION);
    PeerWriter.writeViewId(out, decision.viewId());
    PeerWriter.writeChange(out, decision.change());
  }

  private static void writePaxosMessage(
      final CBORGenerator out, final GossipItem.PaxosMessage message) throws IOException {
    writeType(out, GossipItemType.PAXOS_MESSAGE);
    PeerWriter.writeViewId(out, message.viewId());
    out.writeNumber(message.type().ordinal());
    out.writeNumber(message.ballot());
    out.writeNumber(message.acceptedBallot());
    PeerWriter.writeChange(out, message.change());
  }
}
