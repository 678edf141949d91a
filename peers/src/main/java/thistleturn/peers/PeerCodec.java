package thistleturn.peers;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
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
 * Datagrams and frames as CBOR (RFC 8949): arrays by place, each under a version. A reader takes
 * what it knows from the front of an array and passes over what a later version put behind it, and
 * over items of kinds that it does not know. For one thread.
 */
final class PeerCodec {
  /**
   * Version of what is written; a reader turns down a lower one than {@link #MIN_VERSION} alone.
   */
  static final int VERSION = 1;

  private static final int MIN_VERSION = 1;
  private static final int MAX_ITEMS = 10_000;
  private static final int MAX_ADDRESS_LENGTH = 64;
  private static final Pattern ADDRESS =
      Pattern.compile(
          "(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}:"
              + "(6553[0-5]|655[0-2]\\d|65[0-4]\\d\\d|6[0-4]\\d{3}|[1-5]\\d{4}|[1-9]\\d{0,3})");
  private static final int INITIAL_BUFFER_BYTES = 512;

  /**
   * What no array begins with: a stop code (RFC 8949, table 5). A reader of version 1 takes it for
   * malformed, and for nothing else.
   */
  private static final byte PIGGYBACK_MARK = (byte) 0xFF;

  private final CBORFactory factory = new CBORFactory();

  /** Something that can be written. */
  private interface Encoder {
    void write(CBORGenerator out) throws IOException;
  }

  private byte[] encode(final Encoder writing) {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    try (CBORGenerator out = factory.createGenerator(bytes)) {
      writing.write(out);
    } catch (final IOException e) {
      throw new IllegalStateException("an array in memory takes all", e);
    }
    return bytes.toByteArray();
  }

  /** A datagram's text. */
  byte[] write(final Packet packet) {
    return encode(
        out -> {
          out.writeStartArray();
          out.writeNumber(VERSION);
          writeId(out, packet.sender());
          out.writeString(packet.address());
          out.writeNumber(packet.sequence());
          out.writeNumber(packet.heartbeat());
          writeViewId(out, packet.viewId());
          out.writeNumber(packet.statusVersion());
          writeStatus(out, packet.status());
          out.writeNumber(packet.type().ordinal());
          out.writeNumber(packet.echoedSequence());
          writeItems(out, packet.items());
          out.writeEndArray();
        });
  }

  /** A frame's text: all that one knows. */
  byte[] write(final FullStateMessage full) {
    return encode(
        out -> {
          out.writeStartArray();
          out.writeNumber(VERSION);
          writeId(out, full.sender());
          out.writeString(full.address());
          if (full.view() == null) {
            out.writeNull();
          } else {
            writeView(out, full.view());
          }
          writeItems(out, full.items());
          out.writeEndArray();
        });
  }

  /**
   * What a passenger sends: in a datagram behind {@link #PIGGYBACK_MARK}, which begins no packet;
   * in a frame of its own kind.
   */
  byte[] write(final PiggybackMessage cargo) {
    final byte[] array =
        encode(
            out -> {
              out.writeStartArray();
              out.writeNumber(VERSION);
              writeId(out, cargo.sender());
              out.writeString(cargo.address());
              out.writeNumber(cargo.sequence());
              out.writeBinary(cargo.payload());
              out.writeEndArray();
            });
    final byte[] marked = new byte[array.length + 1];
    marked[0] = PIGGYBACK_MARK;
    System.arraycopy(array, 0, marked, 1, array.length);
    return marked;
  }

  /** True for what {@link #write(PiggybackMessage)} wrote. */
  static boolean isPiggyback(final byte[] text) {
    return text.length > 0 && text[0] == PIGGYBACK_MARK;
  }

  /** Reads what a passenger sent. */
  PiggybackMessage readPiggyback(final byte[] text) throws IOException {
    try (Reader in = new Reader(factory.createParser(text, 1, text.length - 1))) {
      in.begin();
      in.version();
      final PiggybackMessage cargo =
          new PiggybackMessage(in.id(), in.address(), in.number(), in.binary());
      in.end();
      return cargo;
    }
  }

  /** A frame's text: a greeting. */
  byte[] write(final PeerId greeting) {
    return encode(
        out -> {
          out.writeStartArray();
          out.writeNumber(VERSION);
          writeId(out, greeting);
          out.writeEndArray();
        });
  }

  private static void writeId(final CBORGenerator out, final PeerId id) throws IOException {
    if (id == null) {
      out.writeNull();
      return;
    }
    out.writeStartArray();
    out.writeString(id.name());
    out.writeNumber(id.incarnation());
    out.writeEndArray();
  }

  private static void writeViewId(final CBORGenerator out, final ViewId mark) throws IOException {
    out.writeStartArray();
    out.writeNumber(mark.generation());
    out.writeNumber(mark.founder());
    out.writeNumber(mark.number());
    out.writeNumber(mark.size());
    out.writeEndArray();
  }

  private static void writeStatus(final CBORGenerator out, final PeerStatus word)
      throws IOException {
    out.writeStartArray();
    out.writeNumber(word.health().ordinal());
    out.writeNumber(word.pauseMs());
    out.writeNumber(word.pendingMessages());
    out.writeBoolean(word.deliveryStalled());
    out.writeEndArray();
  }

  private static void writeMember(final CBORGenerator out, final ViewMember member)
      throws IOException {
    out.writeStartArray();
    writeId(out, member.id());
    out.writeString(member.address());
    out.writeEndArray();
  }

  private static void writeChange(final CBORGenerator out, final ViewChange change)
      throws IOException {
    if (change == null) {
      out.writeNull();
      return;
    }
    out.writeStartArray();
    out.writeStartArray();
    for (final PeerId id : change.removed()) {
      writeId(out, id);
    }
    out.writeEndArray();
    out.writeStartArray();
    for (final ViewMember member : change.added()) {
      writeMember(out, member);
    }
    out.writeEndArray();
    out.writeEndArray();
  }

  private static void writeView(final CBORGenerator out, final View view) throws IOException {
    out.writeStartArray();
    out.writeNumber(view.generation());
    out.writeNumber(view.founder());
    out.writeNumber(view.number());
    out.writeStartArray();
    for (final ViewMember member : view.members()) {
      writeMember(out, member);
    }
    out.writeEndArray();
    out.writeStartArray();
    for (final PeerId id : view.committee()) {
      writeId(out, id);
    }
    out.writeEndArray();
    out.writeEndArray();
  }

  private static void writeItems(final CBORGenerator out, final List<GossipItem> items)
      throws IOException {
    out.writeStartArray();
    for (final GossipItem item : items) {
      out.writeStartArray();
      writeItem(out, item);
      out.writeEndArray();
    }
    out.writeEndArray();
  }

  private static void writeItem(final CBORGenerator out, final GossipItem item) throws IOException {
    if (item instanceof GossipItem.MemberUpdate fact) {
      out.writeNumber(ItemTag.FACT.ordinal());
      writeId(out, fact.id());
      out.writeString(fact.address());
      out.writeNumber(fact.liveness().ordinal());
    } else if (item instanceof GossipItem.ReachabilityReport report) {
      out.writeNumber(ItemTag.REPORT.ordinal());
      writeId(out, report.observer());
      writeId(out, report.subject());
      out.writeNumber(report.version());
      out.writeNumber(report.reachability().ordinal());
      out.writeNumber(report.ageUs());
    } else if (item instanceof GossipItem.Heartbeat beat) {
      out.writeNumber(ItemTag.BEAT.ordinal());
      writeId(out, beat.id());
      out.writeNumber(beat.count());
    } else if (item instanceof GossipItem.StatusUpdate said) {
      out.writeNumber(ItemTag.SAID.ordinal());
      writeId(out, said.id());
      out.writeNumber(said.version());
      writeStatus(out, said.status());
    } else if (item instanceof GossipItem.FullStateRequest) {
      out.writeNumber(ItemTag.ASK.ordinal());
    } else if (item instanceof GossipItem.ViewDecision decided) {
      out.writeNumber(ItemTag.DECIDED.ordinal());
      writeViewId(out, decided.viewId());
      writeChange(out, decided.change());
    } else if (item instanceof GossipItem.PaxosMessage vote) {
      out.writeNumber(ItemTag.VOTE.ordinal());
      writeViewId(out, vote.viewId());
      out.writeNumber(vote.type().ordinal());
      out.writeNumber(vote.ballot());
      out.writeNumber(vote.acceptedBallot());
      writeChange(out, vote.change());
    }
  }

  /** Kinds of items by their number; new ones come last. */
  private enum ItemTag {
    FACT,
    REPORT,
    BEAT,
    SAID,
    ASK,
    DECIDED,
    VOTE
  }

  /** A datagram. */
  Packet readPacket(final byte[] text) throws IOException {
    try (Reader in = new Reader(factory.createParser(text))) {
      in.begin();
      in.version();
      final Packet packet =
          new Packet(
              in.idOrNull(),
              in.address(),
              in.number(),
              in.number(),
              in.mark(),
              in.number(),
              in.word(),
              in.one(Packet.Type.values()),
              in.number(),
              in.items());
      in.end();
      return packet;
    }
  }

  /** A frame with all that one knows. */
  FullStateMessage readFullState(final byte[] text) throws IOException {
    try (Reader in = new Reader(factory.createParser(text))) {
      in.begin();
      in.version();
      final FullStateMessage full =
          new FullStateMessage(in.id(), in.address(), in.viewOrNull(), in.items());
      in.end();
      return full;
    }
  }

  /** A greeting. */
  PeerId readGreeting(final byte[] text) throws IOException {
    try (Reader in = new Reader(factory.createParser(text))) {
      in.begin();
      in.version();
      final PeerId id = in.id();
      in.end();
      return id;
    }
  }

  /** Reads by place; each of its verbs takes the next value. */
  private static final class Reader implements AutoCloseable {
    private final CBORParser in;

    Reader(final CBORParser in) {
      this.in = in;
    }

    private JsonToken next() throws IOException {
      final JsonToken token = in.nextToken();
      if (token == null) {
        throw new MalformedMessageException("it ends too early");
      }
      return token;
    }

    void begin() throws IOException {
      if (next() != JsonToken.START_ARRAY) {
        throw new MalformedMessageException("expected an array, not " + in.currentToken());
      }
    }

    /** Passes over what a later version has put behind. */
    void end() throws IOException {
      while (next() != JsonToken.END_ARRAY) {
        in.skipChildren();
      }
    }

    /** True if another element of a list begins; its end is taken. */
    private boolean more() throws IOException {
      return next() != JsonToken.END_ARRAY;
    }

    void version() throws IOException {
      final long version = number();
      if (version < MIN_VERSION) {
        throw new MalformedMessageException("version " + version + " is not spoken here");
      }
    }

    long number() throws IOException {
      if (next() != JsonToken.VALUE_NUMBER_INT) {
        throw new MalformedMessageException("expected a number, not " + in.currentToken());
      }
      // Beyond 63 bits there is nothing that could be meant; the library says so by an exception of
      // its own.
      return in.getLongValue();
    }

    <T> T one(final T[] values) throws IOException {
      final long index = number();
      if (index < 0 || index >= values.length) {
        throw new MalformedMessageException(
            "expected a number below " + values.length + ", not " + index);
      }
      return values[(int) index];
    }

    private String text(final int most) throws IOException {
      if (next() != JsonToken.VALUE_STRING || in.getTextLength() > most) {
        throw new MalformedMessageException("expected a text of at most " + most + " letters");
      }
      return in.getText();
    }

    /** An address in figures: a name would be looked up, and by anybody's word. */
    String address() throws IOException {
      final String text = text(MAX_ADDRESS_LENGTH);
      if (!ADDRESS.matcher(text).matches()) {
        throw new MalformedMessageException("expected an address in figures, not '" + text + "'");
      }
      return text;
    }

    PeerId id() throws IOException {
      final PeerId id = idOrNull();
      if (id == null) {
        throw new MalformedMessageException("expected a life");
      }
      return id;
    }

    PeerId idOrNull() throws IOException {
      final JsonToken token = next();
      return token == JsonToken.VALUE_NULL ? null : idAfter(token);
    }

    private PeerId idAfter(final JsonToken token) throws IOException {
      if (token != JsonToken.START_ARRAY) {
        throw new MalformedMessageException("expected a life, not " + token);
      }
      final PeerId id = new PeerId(text(PeerId.MAX_NAME_LENGTH), number());
      if (id.name().isEmpty() || id.incarnation() <= 0) {
        throw new MalformedMessageException("no life: " + id);
      }
      end();
      return id;
    }

    ViewId mark() throws IOException {
      begin();
      final ViewId mark =
          new ViewId(number(), number(), number(), (int) Math.min(Integer.MAX_VALUE, number()));
      end();
      return mark;
    }

    PeerStatus word() throws IOException {
      begin();
      final PeerStatus word =
          new PeerStatus(
              one(LocalHealth.State.values()),
              (int) Math.min(Integer.MAX_VALUE, number()),
              (int) Math.min(Integer.MAX_VALUE, number()),
              flag());
      end();
      return word;
    }

    private boolean flag() throws IOException {
      final JsonToken token = next();
      if (!token.isBoolean()) {
        throw new MalformedMessageException("expected true or false, not " + token);
      }
      return token == JsonToken.VALUE_TRUE;
    }

    byte[] binary() throws IOException {
      if (next() != JsonToken.VALUE_EMBEDDED_OBJECT) {
        throw new MalformedMessageException("expected bytes, not " + in.currentToken());
      }
      return in.getBinaryValue();
    }

    private ViewMember memberAfter(final JsonToken token) throws IOException {
      if (token != JsonToken.START_ARRAY) {
        throw new MalformedMessageException("expected a member, not " + token);
      }
      final ViewMember member = new ViewMember(id(), address());
      end();
      return member;
    }

    private List<PeerId> ids() throws IOException {
      final List<PeerId> ids = new ArrayList<>();
      begin();
      while (more()) {
        ids.add(idAfter(in.currentToken()));
        bound(ids.size());
      }
      return ids;
    }

    private List<ViewMember> members() throws IOException {
      final List<ViewMember> members = new ArrayList<>();
      begin();
      while (more()) {
        members.add(memberAfter(in.currentToken()));
        bound(members.size());
      }
      return members;
    }

    private static void bound(final int size) throws IOException {
      if (size > MAX_ITEMS) {
        throw new MalformedMessageException("more than " + MAX_ITEMS + " of a kind");
      }
    }

    private ViewChange changeOrNull() throws IOException {
      if (next() == JsonToken.VALUE_NULL) {
        return null;
      }
      if (in.currentToken() != JsonToken.START_ARRAY) {
        throw new MalformedMessageException("expected a change");
      }
      final ViewChange change = new ViewChange(ids(), members());
      end();
      return change;
    }

    View viewOrNull() throws IOException {
      if (next() == JsonToken.VALUE_NULL) {
        return null;
      }
      if (in.currentToken() != JsonToken.START_ARRAY) {
        throw new MalformedMessageException("expected a view");
      }
      final View view = new View(number(), number(), number(), members(), ids());
      end();
      if (view.generation() < 1
          || view.number() < 1
          || view.members().isEmpty()
          || view.committee().isEmpty()) {
        throw new MalformedMessageException("no view: " + view.viewId());
      }
      return view;
    }

    List<GossipItem> items() throws IOException {
      final List<GossipItem> items = new ArrayList<>();
      begin();
      while (more()) {
        if (in.currentToken() != JsonToken.START_ARRAY) {
          throw new MalformedMessageException("expected an item, not " + in.currentToken());
        }
        final long tag = number();
        if (tag >= 0 && tag < ItemTag.values().length) {
          items.add(item(ItemTag.values()[(int) tag]));
        }
        end();
        bound(items.size());
      }
      return items;
    }

    private GossipItem item(final ItemTag tag) throws IOException {
      return switch (tag) {
        case FACT ->
            new GossipItem.MemberUpdate(id(), address(), one(GossipItem.Liveness.values()));
        case REPORT ->
            new GossipItem.ReachabilityReport(
                id(), id(), number(), one(Reachability.values()), number());
        case BEAT -> new GossipItem.Heartbeat(id(), number());
        case SAID -> new GossipItem.StatusUpdate(id(), number(), word());
        case ASK -> new GossipItem.FullStateRequest();
        case DECIDED -> new GossipItem.ViewDecision(mark(), changeOrEmpty());
        case VOTE ->
            new GossipItem.PaxosMessage(
                mark(),
                one(GossipItem.PaxosMessage.Type.values()),
                number(),
                number(),
                changeOrNull());
      };
    }

    private ViewChange changeOrEmpty() throws IOException {
      final ViewChange change = changeOrNull();
      return change == null ? new ViewChange(List.of(), List.of()) : change;
    }

    @Override
    public void close() throws IOException {
      in.close();
    }
  }
}
