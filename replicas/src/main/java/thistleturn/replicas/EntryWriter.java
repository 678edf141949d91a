package thistleturn.replicas;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.WriterId;

/**
 * Writes entries as CBOR, for messages and files. An entry is written with its age instead of its
 * creation time, so that the clocks of two couriers need not agree.
 */
final class EntryWriter {
  private EntryWriter() {}

  /** Writes for each writer the version up to which no entry is missing. */
  static void writeKnownVersions(final CBORGenerator out, final Map<WriterId, Long> knownVersions)
      throws IOException {
    out.writeStartArray();
    for (final Map.Entry<WriterId, Long> known : knownVersions.entrySet()) {
      writeWriterId(out, known.getKey());
      out.writeNumber(known.getValue());
    }
    out.writeEndArray();
  }

  private static void writeWriterId(final CBORGenerator out, final WriterId writer)
      throws IOException {
    out.writeString(writer.name());
    out.writeNumber(writer.epoch());
  }

  /** Writes a list of deltas. */
  static void writeDeltas(final CBORGenerator out, final List<Delta> deltas, final long nowUs)
      throws IOException {
    out.writeStartArray();
    for (final Delta delta : deltas) {
      out.writeStartArray();
      writeWriterId(out, delta.writer());
      out.writeNumber(delta.afterVersion());
      out.writeNumber(delta.upToVersion());
      writeEntries(out, delta.entries(), nowUs);
      out.writeEndArray();
    }
    out.writeEndArray();
  }

  /** Writes a list of writers, each with its entries. */
  static void writeEntriesByWriter(
      final CBORGenerator out, final Map<WriterId, List<Entry>> entriesByWriter, final long nowUs)
      throws IOException {
    out.writeStartArray();
    for (final Map.Entry<WriterId, List<Entry>> each : entriesByWriter.entrySet()) {
      writeWriterId(out, each.getKey());
      writeEntries(out, each.getValue(), nowUs);
    }
    out.writeEndArray();
  }

  private static void writeEntries(
      final CBORGenerator out, final List<Entry> entries, final long nowUs) throws IOException {
    out.writeStartArray();
    for (final Entry entry : entries) {
      writeEntry(out, entry, nowUs);
    }
    out.writeEndArray();
  }

  /** Writes an entry without its writer. */
  private static void writeEntry(final CBORGenerator out, final Entry entry, final long nowUs)
      throws IOException {
    out.writeStartArray();
    out.writeNumber(entry.typeCode());
    out.writeString(entry.subject());
    out.writeNumber(entry.version());
    out.writeNumber(entry.ttlUs());
    out.writeNumber(Math.max(0, nowUs - entry.createdUs()));
    for (final Object field : entry.fields()) {
      writeField(out, field);
    }
    out.writeEndArray();
  }

  private static void writeField(final CBORGenerator out, final Object field) throws IOException {
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
}
