package thistleturn.replicas;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.ReplicationMessage;
import thistleturn.decisions.replicas.WriterId;

/**
 * Messages and entries as CBOR (RFC 8949): arrays by place, each message under a version. Entries
 * travel with their age, so that no two clocks need agree. Fields of an entry are kept as they
 * came, known or not; what a later version puts behind the known places of a message is passed
 * over. For one thread.
 */
final class ReplicaCodec {
  /**
   * Version of what is written; a reader turns down a lower one than {@link #MIN_VERSION} alone.
   */
  static final int VERSION = 1;

  private static final int MIN_VERSION = 1;
  private static final int MAX_DELTAS = 10_000;
  private static final int MAX_ENTRIES = 200_000;
  private static final int MAX_FIELDS = 64;
  private static final int MAX_TEXT_LENGTH = 1000;
  private static final int NEWS = 1;
  private static final int MARK = 2;
  private static final int PAGE = 3;
  private static final int PIECE = 4;
  private static final int INITIAL_BUFFER_BYTES = 1024;

  private final CBORFactory factory = new CBORFactory();

  /** A message's text, at that moment. */
  byte[] write(final ReplicationMessage message, final long nowUs) {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    try (CBORGenerator out = factory.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeNumber(VERSION);
      if (message instanceof ReplicationMessage.EntryBroadcast news) {
        out.writeNumber(NEWS);
        writeDeltas(out, news.deltas(), nowUs);
      } else if (message instanceof ReplicationMessage.Checksum mark) {
        out.writeNumber(MARK);
        out.writeNumber(mark.value());
        out.writeNumber(mark.entryCount());
      } else if (message instanceof ReplicationMessage.Digest page) {
        out.writeNumber(PAGE);
        out.writeNumber(page.partition());
        out.writeNumber(page.partitionCount());
        out.writeBoolean(page.replyRequested());
        writeKnownVersions(out, page.knownVersions());
      } else if (message instanceof ReplicationMessage.DeltaBatch piece) {
        out.writeNumber(PIECE);
        out.writeNumber(piece.partition());
        out.writeNumber(piece.partitionCount());
        out.writeBoolean(piece.hasMore());
        writeDeltas(out, piece.deltas(), nowUs);
      }
      out.writeEndArray();
    } catch (final IOException e) {
      throw new IllegalStateException("an array in memory takes all", e);
    }
    return bytes.toByteArray();
  }

  static void writeKnownVersions(final CBORGenerator out, final Map<WriterId, Long> known)
      throws IOException {
    out.writeStartArray();
    for (final Map.Entry<WriterId, Long> one : known.entrySet()) {
      writeWriterId(out, one.getKey());
      out.writeNumber(one.getValue());
    }
    out.writeEndArray();
  }

  private static void writeWriterId(final CBORGenerator out, final WriterId writer)
      throws IOException {
    out.writeString(writer.name());
    out.writeNumber(writer.epoch());
  }

  private static void writeDeltas(
      final CBORGenerator out, final List<Delta> deltas, final long nowUs) throws IOException {
    out.writeStartArray();
    for (final Delta delta : deltas) {
      out.writeStartArray();
      writeWriterId(out, delta.writer());
      out.writeNumber(delta.afterVersion());
      out.writeNumber(delta.upToVersion());
      out.writeStartArray();
      for (final Entry entry : delta.entries()) {
        writeEntry(out, entry, nowUs);
      }
      out.writeEndArray();
      out.writeEndArray();
    }
    out.writeEndArray();
  }

  /** An entry without its writer. */
  static void writeEntry(final CBORGenerator out, final Entry entry, final long nowUs)
      throws IOException {
    out.writeStartArray();
    out.writeNumber(entry.typeCode());
    out.writeString(entry.subject());
    out.writeNumber(entry.version());
    out.writeNumber(entry.ttlUs());
    out.writeNumber(Math.max(0, nowUs - entry.createdUs()));
    for (final Object field : entry.fields()) {
      if (field instanceof Long number) {
        out.writeNumber(number);
      } else if (field instanceof Double number) {
        out.writeNumber(number);
      } else if (field instanceof Boolean flag) {
        out.writeBoolean(flag);
      } else {
        out.writeString((String) field);
      }
    }
    out.writeEndArray();
  }

  /** Reads a message that came at that moment; null: of a kind that is not known here. */
  ReplicationMessage read(final byte[] text, final long nowUs) throws IOException {
    try (Reader in = new Reader(factory.createParser(text), nowUs)) {
      in.begin();
      if (in.number() < MIN_VERSION) {
        throw new MalformedEntryException("a version that is not spoken here");
      }
      final long kind = in.number();
      final ReplicationMessage message;
      if (kind == NEWS) {
        message = new ReplicationMessage.EntryBroadcast(in.deltas());
      } else if (kind == MARK) {
        message = new ReplicationMessage.Checksum(in.number(), in.number());
      } else if (kind == PAGE) {
        final int part = in.nonNegativeInt();
        final int parts = in.nonNegativeInt();
        final boolean wantsBack = in.flag();
        message = new ReplicationMessage.Digest(part, parts, in.knownVersions(), wantsBack);
      } else if (kind == PIECE) {
        final int part = in.nonNegativeInt();
        final int parts = in.nonNegativeInt();
        final boolean more = in.flag();
        message = new ReplicationMessage.DeltaBatch(part, parts, in.deltas(), more);
      } else {
        message = null;
      }
      in.end();
      return message;
    }
  }

  /** Reads by place; each of its verbs takes the next value. */
  static final class Reader implements AutoCloseable {
    private final CBORParser in;
    private final long nowUs;

    Reader(final CBORParser in, final long nowUs) {
      this.in = in;
      this.nowUs = nowUs;
    }

    private JsonToken next() throws IOException {
      final JsonToken token = in.nextToken();
      if (token == null) {
        throw new MalformedEntryException("it ends too early");
      }
      return token;
    }

    void begin() throws IOException {
      if (next() != JsonToken.START_ARRAY) {
        throw new MalformedEntryException("expected an array, not " + in.currentToken());
      }
    }

    void end() throws IOException {
      while (next() != JsonToken.END_ARRAY) {
        in.skipChildren();
      }
    }

    long number() throws IOException {
      if (next() != JsonToken.VALUE_NUMBER_INT) {
        throw new MalformedEntryException("expected a number, not " + in.currentToken());
      }
      return in.getLongValue();
    }

    int nonNegativeInt() throws IOException {
      final long number = number();
      if (number < 0 || number > Integer.MAX_VALUE) {
        throw new MalformedEntryException("expected a small number, not " + number);
      }
      return (int) number;
    }

    boolean flag() throws IOException {
      if (!next().isBoolean()) {
        throw new MalformedEntryException("expected true or false, not " + in.currentToken());
      }
      return in.currentToken() == JsonToken.VALUE_TRUE;
    }

    private String text() throws IOException {
      if (next() != JsonToken.VALUE_STRING || in.getTextLength() > MAX_TEXT_LENGTH) {
        throw new MalformedEntryException(
            "expected a text of at most " + MAX_TEXT_LENGTH + " letters");
      }
      return in.getText();
    }

    Map<WriterId, Long> knownVersions() throws IOException {
      final Map<WriterId, Long> known = new TreeMap<>();
      begin();
      while (next() != JsonToken.END_ARRAY) {
        if (in.currentToken() != JsonToken.VALUE_STRING || known.size() >= MAX_DELTAS) {
          throw new MalformedEntryException("expected at most " + MAX_DELTAS + " writers");
        }
        final WriterId writer = new WriterId(in.getText(), number());
        known.put(writer, number());
      }
      return known;
    }

    List<Delta> deltas() throws IOException {
      final List<Delta> deltas = new ArrayList<>();
      begin();
      while (next() != JsonToken.END_ARRAY) {
        if (in.currentToken() != JsonToken.START_ARRAY || deltas.size() >= MAX_DELTAS) {
          throw new MalformedEntryException("expected at most " + MAX_DELTAS + " writers' entries");
        }
        final WriterId writer = new WriterId(text(), number());
        final long from = number();
        final long to = number();
        final List<Entry> entries = entries(writer);
        end();
        deltas.add(new Delta(writer, from, to, entries));
      }
      return deltas;
    }

    List<Entry> entries(final WriterId writer) throws IOException {
      final List<Entry> entries = new ArrayList<>();
      begin();
      while (next() != JsonToken.END_ARRAY) {
        if (in.currentToken() != JsonToken.START_ARRAY || entries.size() >= MAX_ENTRIES) {
          throw new MalformedEntryException("expected at most " + MAX_ENTRIES + " entries");
        }
        entries.add(entryAfterBegin(writer));
      }
      return entries;
    }

    /** Writers with their entries, to the end of the list. */
    Map<WriterId, List<Entry>> entriesByWriter() throws IOException {
      final Map<WriterId, List<Entry>> shelves = new TreeMap<>();
      begin();
      while (next() != JsonToken.END_ARRAY) {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
          throw new MalformedEntryException("expected a writer, not " + in.currentToken());
        }
        final WriterId writer = new WriterId(in.getText(), number());
        shelves.put(writer, entries(writer));
      }
      return shelves;
    }

    private Entry entryAfterBegin(final WriterId writer) throws IOException {
      final int kind = nonNegativeInt();
      final String subject = text();
      final long version = number();
      final long lifeUs = number();
      final long ageUs = number();
      final List<Object> fields = new ArrayList<>();
      while (next() != JsonToken.END_ARRAY) {
        if (fields.size() >= MAX_FIELDS) {
          throw new MalformedEntryException("an entry with more than " + MAX_FIELDS + " fields");
        }
        fields.add(
            switch (in.currentToken()) {
              case VALUE_NUMBER_INT -> in.getLongValue();
              case VALUE_NUMBER_FLOAT -> in.getDoubleValue();
              case VALUE_TRUE -> true;
              case VALUE_FALSE -> false;
              case VALUE_STRING -> in.getText();
              default ->
                  throw new MalformedEntryException(
                      "a field that is neither number, text, true nor false");
            });
      }
      if (ageUs < 0) {
        throw new MalformedEntryException("an entry of the future");
      }
      return new Entry(kind, subject, writer, version, lifeUs, nowUs - ageUs, List.copyOf(fields));
    }

    @Override
    public void close() throws IOException {
      in.close();
    }
  }
}
