package thistleturn.decisions.replicas;

import java.util.List;

/**
 * A writer's entries after a version, in their order: who knows all up to {@code from} knows all up
 * to {@code to} once these are taken over. Entries that another took the place of, or whose time is
 * up, are left out.
 */
public record Delta(Writer writer, long from, long to, List<Entry> entries) {
  /** About how many bytes it takes on its way. */
  public int bytes() {
    int bytes = 30 + writer.name().length();
    for (final Entry entry : entries) {
      bytes += entry.bytes();
    }
    return bytes;
  }
}
