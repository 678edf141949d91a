package thistleturn.decisions.replicas;

import java.util.List;

/**
 * A writer's entries after a version, in their order: who knows all up to {@code afterVersion}
 * knows all up to {@code upToVersion} once these are taken over. Entries that another took the
 * place of, or whose time is up, are left out.
 */
public record Delta(WriterId writer, long afterVersion, long upToVersion, List<Entry> entries) {
  /** About how many bytes it takes on its way. */
  public int estimatedBytes() {
    int bytes = 30 + writer.name().length();
    for (final Entry entry : entries) {
      bytes += entry.estimatedBytes();
    }
    return bytes;
  }
}
