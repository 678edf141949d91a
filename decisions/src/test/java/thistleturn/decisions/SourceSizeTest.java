package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The operators read the whole module at night: its size is part of what is promised. */
final class SourceSizeTest {
  private static final int MOST_LINES = 900;
  private static final int MOST_CHARACTERS = 110;

  @Test
  void controllerSource_staysWithinLineLimits() throws IOException {
    final List<String> lines =
        Files.readAllLines(Path.of("src/main/java/thistleturn/decisions/OverloadController.java"));
    assertFalse(lines.isEmpty());
    final long filled = lines.stream().filter(line -> !line.isBlank()).count();
    assertTrue(filled <= MOST_LINES, "non-blank lines: " + filled);
    lines.forEach(line -> assertTrue(line.length() <= MOST_CHARACTERS, line));
  }
}
