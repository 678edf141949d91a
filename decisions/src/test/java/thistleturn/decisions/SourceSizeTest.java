package thistleturn.decisions;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Limits the size of the controller's source, because operators must be able to read all of it
 * during an incident at night.
 */
final class SourceSizeTest {
  private static final int MAX_LINES = 900;
  private static final int MAX_LINE_LENGTH = 110;

  @Test
  void controllerSource_staysWithinLineLimits() throws IOException {
    final List<String> lines =
        Files.readAllLines(Path.of("src/main/java/thistleturn/decisions/OverloadController.java"));
    assertFalse(lines.isEmpty());
    final long filled = lines.stream().filter(line -> !line.isBlank()).count();
    assertTrue(filled <= MAX_LINES, "non-blank lines: " + filled);
    lines.forEach(line -> assertTrue(line.length() <= MAX_LINE_LENGTH, line));
  }
}
