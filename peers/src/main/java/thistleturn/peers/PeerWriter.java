package thistleturn.peers;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import thistleturn.decisions.peers.PeerId;
import thistleturn.decisions.peers.PeerStatus;
import thistleturn.decisions.peers.View;
import thistleturn.decisions.peers.ViewChange;
import thistleturn.decisions.peers.ViewId;
import thistleturn.decisions.peers.ViewMember;

/** Writes the values that the messages of peers have in common; {@link PeerReader} reads them. */
final class PeerWriter {
  private PeerWriter() {}

  /** Writes the id of a peer, which may be null. */
  static void writeId(final CBORGenerator out, final PeerId id) throws IOException {
    if (id == null) {
      out.writeNull();
      return;
    }
    out.writeStartArray();
    out.writeString(id.name());
    out.writeNumber(id.incarnation());
    out.writeEndArray();
  }

  static void writeViewId(final CBORGenerator out, final ViewId viewId) throws IOException {
    out.writeStartArray();
    out.writeNumber(viewId.generation());
    out.writeNumber(viewId.founder());
    out.writeNumber(viewId.number());
    out.writeNumber(viewId.size());
    out.writeEndArray();
  }

  static void writeStatus(final CBORGenerator out, final PeerStatus status) throws IOException {
    out.writeStartArray();
    out.writeNumber(status.health().ordinal());
    out.writeNumber(status.pauseMs());
    out.writeNumber(status.pendingMessages());
    out.writeBoolean(status.deliveryStalled());
    out.writeEndArray();
  }

  /** Writes a view, which may be null. */
  static void writeView(final CBORGenerator out, final View view) throws IOException {
    if (view == null) {
      out.writeNull();
      return;
    }
    out.writeStartArray();
    out.writeNumber(view.generation());
    out.writeNumber(view.founder());
    out.writeNumber(view.number());
    writeMembers(out, view.members());
    writeIds(out, view.committee());
    out.writeEndArray();
  }

  /** Writes a view change, which may be null. */
  static void writeChange(final CBORGenerator out, final ViewChange change) throws IOException {
    if (change == null) {
      out.writeNull();
      return;
    }
    out.writeStartArray();
    writeIds(out, change.removed());
    writeMembers(out, change.added());
    out.writeEndArray();
  }

  private static void writeIds(final CBORGenerator out, final List<PeerId> ids) throws IOException {
    out.writeStartArray();
    for (final PeerId id : ids) {
      writeId(out, id);
    }
    out.writeEndArray();
  }

  private static void writeMembers(final CBORGenerator out, final List<ViewMember> members)
      throws IOException {
    out.writeStartArray();
    for (final ViewMember member : members) {
      out.writeStartArray();
      writeId(out, member.id());
      out.writeString(member.address());
      out.writeEndArray();
    }
    out.writeEndArray();
  }
}
