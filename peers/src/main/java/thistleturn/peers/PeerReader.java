package thistleturn.peers;

import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import thistleturn.decisions.health.LocalHealth;
import thistleturn.decisions.peers.GossipItem;
import thistleturn.decisions.peers.PeerId;
import thistleturn.decisions.peers.PeerStatus;
import thistleturn.decisions.peers.Reachability;
import thistleturn.decisions.peers.View;
import thistleturn.decisions.peers.ViewChange;
import thistleturn.decisions.peers.ViewId;
import thistleturn.decisions.peers.ViewMember;
import thistleturn.peers.cbor.CborReader;
import thistleturn.peers.cbor.MalformedMessageException;

/** Reads the values that {@link PeerWriter} and {@link GossipItemWriter} write. */
final class PeerReader extends CborReader {
  private static final int MAX_ELEMENTS = 10_000;
  private static final int MAX_ADDRESS_LENGTH = 64;
  private static final Pattern NUMERIC_ADDRESS =
      Pattern.compile(
          "(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}:"
              + "(6553[0-5]|655[0-2]\\d|65[0-4]\\d\\d|6[0-4]\\d{3}|[1-5]\\d{4}|[1-9]\\d{0,3})");

  PeerReader(final byte[] payload) throws IOException {
    super(payload);
  }

  PeerReader(final byte[] payload, final int offset, final int length) throws IOException {
    super(payload, offset, length);
  }

  /**
   * Reads a numeric address. Host names are rejected, since any sender could cause a name lookup.
   */
  String address() throws IOException {
    final String address = text(MAX_ADDRESS_LENGTH);
    if (!NUMERIC_ADDRESS.matcher(address).matches()) {
      throw new MalformedMessageException("expected a numeric address, not '" + address + "'");
    }
    return address;
  }

  PeerId id() throws IOException {
    final PeerId id = idOrNull();
    if (id == null) {
      throw new MalformedMessageException("expected an incarnation");
    }
    return id;
  }

  PeerId idOrNull() throws IOException {
    return nextToken() == JsonToken.VALUE_NULL ? null : restOfId();
  }

  /** Reads the rest of an id whose first token was already read. */
  private PeerId restOfId() throws IOException {
    requireCurrent(JsonToken.START_ARRAY, "an incarnation");
    final PeerId id = new PeerId(text(PeerId.MAX_NAME_LENGTH), number());
    if (id.name().isEmpty() || id.incarnation() <= 0) {
      throw new MalformedMessageException("invalid incarnation: " + id);
    }
    endArray();
    return id;
  }

  ViewId viewId() throws IOException {
    beginArray();
    final ViewId viewId = new ViewId(number(), number(), number(), numberUpToMaxInt());
    endArray();
    return viewId;
  }

  PeerStatus status() throws IOException {
    beginArray();
    final PeerStatus status =
        new PeerStatus(
            oneOf(LocalHealth.State.values()), numberUpToMaxInt(), numberUpToMaxInt(), flag());
    endArray();
    return status;
  }

  View viewOrNull() throws IOException {
    if (nextToken() == JsonToken.VALUE_NULL) {
      return null;
    }
    requireCurrent(JsonToken.START_ARRAY, "a view");
    final View view = new View(number(), number(), number(), members(), ids());
    endArray();
    if (view.generation() < 1
        || view.number() < 1
        || view.members().isEmpty()
        || view.committee().isEmpty()) {
      throw new MalformedMessageException("invalid view: " + view.viewId());
    }
    return view;
  }

  private ViewChange changeOrNull() throws IOException {
    if (nextToken() == JsonToken.VALUE_NULL) {
      return null;
    }
    requireCurrent(JsonToken.START_ARRAY, "a change");
    final ViewChange change = new ViewChange(ids(), members());
    endArray();
    return change;
  }

  private ViewChange changeOrEmpty() throws IOException {
    final ViewChange change = changeOrNull();
    return change == null ? new ViewChange(List.of(), List.of()) : change;
  }

  private List<PeerId> ids() throws IOException {
    final List<PeerId> ids = new ArrayList<>();
    beginArray();
    while (nextElement()) {
      ids.add(restOfId());
      requireAtMost(MAX_ELEMENTS, ids.size());
    }
    return ids;
  }

  private List<ViewMember> members() throws IOException {
    final List<ViewMember> members = new ArrayList<>();
    beginArray();
    while (nextElement()) {
      requireCurrent(JsonToken.START_ARRAY, "a member");
      members.add(new ViewMember(id(), address()));
      endArray();
      requireAtMost(MAX_ELEMENTS, members.size());
    }
    return members;
  }

  /** Reads a list of gossip items; items of unknown types are skipped. */
  List<GossipItem> items() throws IOException {
    final List<GossipItem> items = new ArrayList<>();
    final GossipItemType[] types = GossipItemType.values();
    beginArray();
    while (nextElement()) {
      requireCurrent(JsonToken.START_ARRAY, "an item");
      final long type = number();
      if (type >= 0 && type < types.length) {
        items.add(item(types[(int) type]));
      }
      endArray();
      requireAtMost(MAX_ELEMENTS, items.size());
    }
    return items;
  }

  private GossipItem item(final GossipItemType type) throws IOException {
    return switch (type) {
      case MEMBER_UPDATE ->
          new GossipItem.MemberUpdate(id(), address(), oneOf(GossipItem.Liveness.values()));
      case REACHABILITY_REPORT ->
          new GossipItem.ReachabilityReport(
              id(), id(), number(), oneOf(Reachability.values()), number());
      case HEARTBEAT -> new GossipItem.Heartbeat(id(), number());
      case STATUS_UPDATE -> new GossipItem.StatusUpdate(id(), number(), status());
      case FULL_STATE_REQUEST -> new GossipItem.FullStateRequest();
      case VIEW_DECISION -> new GossipItem.ViewDecision(viewId(), changeOrEmpty());
      case PAXOS_MESSAGE ->
          new GossipItem.PaxosMessage(
              viewId(),
              oneOf(GossipItem.PaxosMessage.Type.values()),
              number(),
              number(),
              changeOrNull());
    };
  }
}
