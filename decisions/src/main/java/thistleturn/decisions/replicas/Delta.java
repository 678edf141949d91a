package thistleturn.decisions.replicas;

import java.util.List;

/**
 * Entries of one writer, in the order of their versions. A store that lacks nothing up to {@code
 * afterVersion} lacks nothing up to {@code upToVersion} once it has merged them. Entries that are
 * superseded or have expired are omitted.
 */
public record Delta(WriterId writer, long afterVersion, long upToVersion, List<Entry> entries) {
  private static final int FIXED_BYTES = 30;

  /** Returns the delta that carries one entry. */
  static Delta single(final Entry entry) {
    return new Delta(entry.writer(), entry.version() - 1, entry.version(), List.of(entry));
  }

  /** Returns true if the writer and the range of versions are valid. */
  boolean isValid() {
    return writer.isValid()
        && afterVersion >= 0
        && upToVersion >= afterVersion
        && upToVersion < Entry.VERSION_LIMIT;
  }

  /** Returns the last version that the delta describes or carries. */
  long lastVersion() {
    return entries.isEmpty()
        ? upToVersion
        : Math.max(upToVersion, entries.get(entries.size() - 1).version());
  }

  /** Returns about how many bytes the delta takes once it is encoded. */
  public int estimatedBytes() {
    int bytes = FIXED_BYTES + writer.name().length();
    for (final Entry entry : entries) {
      bytes += entry.estimatedBytes();
    }
    return bytes;
  }
}
