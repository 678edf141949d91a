package thistleturn.courier.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Pins the exact text of the file that names the endpoints that operators have disabled. */
final class MaintenanceFileFormatTest {
  @TempDir private Path folder;

  @Test
  void disabledEndpoints_areWrittenOnePerLine() throws IOException {
    new DisabledEndpointsFile(folder, 7).replace(List.of("e1", "zone-a/\u00e9 2"));
    assertEquals("e1\nzone-a/\u00e9 2\n", Files.readString(folder.resolve("maintenance")));
  }

  @Test
  void noDisabledEndpoints_fileIsEmpty() throws IOException {
    new DisabledEndpointsFile(folder, 7).replace(List.of());
    assertEquals("", Files.readString(folder.resolve("maintenance")));
  }

  @Test
  void fileWithPinnedLines_isReadBack() throws IOException {
    Files.writeString(folder.resolve("maintenance"), "e1\n\nzone-a/\u00e9 2\n");
    assertEquals(Set.of("e1", "zone-a/\u00e9 2"), new DisabledEndpointsFile(folder, 7).read());
  }
}
