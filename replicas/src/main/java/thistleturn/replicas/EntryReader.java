package thistleturn.replicas;

import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.WriterId;
import thistleturn.peers.cbor.CborReader;
import thistleturn.peers.cbor.MalformedMessageException;

/**
 * Reads the values that {@link EntryWriter} writes. Ages are converted to times on this process's
 * clock. All fields of an entry are kept, including those unknown in this version.
 */
final class EntryReader extends CborReader {
  private static final int MAX_WRITERS = 10_000;
  private static final int MAX_ENTRIES = 200_000;
  private static final int MAX_FIELDS = 64;
  private static final int MAX_TEXT_LENGTH = 1000;

  private final long nowUs;

  /** Creates a reader for which an entry of age 0 was created at {@code nowUs}. */
  EntryReader(final byte[] bytes, final long nowUs) throws IOException {
    super(bytes);
    this.nowUs = nowUs;
  }

  /** Reads for each writer the version up to which no entry is missing. */
  Map<WriterId, Long> knownVersions() throws IOException {
    final Map<WriterId, Long> knownVersions = new TreeMap<>();
    beginArray();
    while (nextElement()) {
      requireCurrent(JsonToken.VALUE_STRING, "a writer");
      requireAtMost(MAX_WRITERS, knownVersions.size() + 1);
      final WriterId writer = new WriterId(currentText(), number());
      knownVersions.put(writer, number());
    }
    return knownVersions;
  }

  /** Reads a list of deltas. */
  List<Delta> deltas() throws IOException {
    final List<Delta> deltas = new ArrayList<>();
    beginArray();
    while (nextElement()) {
      requireCurrent(JsonToken.START_ARRAY, "entries of a writer");
      requireAtMost(MAX_WRITERS, deltas.size() + 1);
      deltas.add(restOfDelta());
    }
    return deltas;
  }

  private Delta restOfDelta() throws IOException {
    final WriterId writer = new WriterId(text(MAX_TEXT_LENGTH), number());
    final long afterVersion = number();
    final long upToVersion = number();
    final List<Entry> entries = entries(writer);
    endArray();
    return new Delta(writer, afterVersion, upToVersion, entries);
  }

  /** Reads a list of writers, each with its entries. */
  Map<WriterId, List<Entry>> entriesByWriter() throws IOException {
    final Map<WriterId, List<Entry>> entriesByWriter = new TreeMap<>();
    beginArray();
    while (nextElement()) {
      requireCurrent(JsonToken.VALUE_STRING, "a writer");
      final WriterId writer = new WriterId(currentText(), number());
      entriesByWriter.put(writer, entries(writer));
    }
    return entriesByWriter;
  }

  private List<Entry> entries(final WriterId writer) throws IOException {
    final List<Entry> entries = new ArrayList<>();
    beginArray();
    while (nextElement()) {
      requireCurrent(JsonToken.START_ARRAY, "an entry");
      requireAtMost(MAX_ENTRIES, entries.size() + 1);
      entries.add(restOfEntry(writer));
    }
    return entries;
  }

  private Entry restOfEntry(final WriterId writer) throws IOException {
    final int typeCode = nonNegativeInt();
    final String subject = text(MAX_TEXT_LENGTH);
    final long version = number();
    final long ttlUs = number();
    final long ageUs = number();
    final List<Object> fields = restOfFields();
    if (ageUs < 0) {
      throw new MalformedMessageException("an entry with a negative age");
    }
    return new Entry(typeCode, subject, writer, version, ttlUs, nowUs - ageUs, fields);
  }

  private List<Object> restOfFields() throws IOException {
    final List<Object> fields = new ArrayList<>();
    while (nextElement()) {
      requireAtMost(MAX_FIELDS, fields.size() + 1);
      fields.add(currentField());
    }
    return List.copyOf(fields);
  }

  private Object currentField() throws IOException {
    return switch (currentToken()) {
      case VALUE_NUMBER_INT -> currentLong();
      case VALUE_NUMBER_FLOAT -> currentDouble();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_STRING -> currentText();
      default ->
          throw new MalformedMessageException("a field that is neither number, text nor boolean");
    };
  }
}
