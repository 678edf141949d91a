package thistleturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The list of files that are exempt from a Checkstyle limit may only shrink. */
final class RecordedLimitsTest {
  /** Lowered whenever an entry is removed; never raised. */
  private static final int MAX_ENTRIES = 36;

  private static final Path ROOT = Path.of("..");
  private static final Pattern ENTRY =
      Pattern.compile("<suppress checks=\"(\\w+)\" files=\"\\[\\\\\\\\/]([^\"]+)\"/>");

  @Test
  void entries_areAtMostTheRecordedNumber() throws IOException {
    final int entries = entries().size();
    assertTrue(entries <= MAX_ENTRIES, "entries: " + entries);
  }

  @Test
  void everyEntry_namesAnExistingFile() throws IOException {
    for (final String entry : entries()) {
      final String file = entry.substring(entry.indexOf(' ') + 1);
      try (Stream<Path> modules = Files.list(ROOT)) {
        final long found =
            modules
                .filter(module -> Files.exists(module.resolve("src/main/java").resolve(file)))
                .count();
        assertEquals(1, found, entry);
      }
    }
  }

  /** Each entry as the name of the check, a space and the path below {@code src/main/java}. */
  private static List<String> entries() throws IOException {
    final TreeSet<String> entries = new TreeSet<>();
    final String text = Files.readString(ROOT.resolve("config/checkstyle/suppressions.xml"));
    final Matcher matcher = ENTRY.matcher(text);
    while (matcher.find()) {
      entries.add(matcher.group(1) + " " + matcher.group(2).replace("\\.", "."));
    }
    assertEquals(text.split("<suppress ").length - 1, entries.size(), "every entry was read");
    return List.copyOf(entries);
  }
}
