package thistleturn.courier;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** A courier process that is not started yet, between fakes of what it is connected to. */
abstract class HarnessScenario {
  CourierHarness harness;
  @TempDir private Path workDirectory;

  @BeforeEach
  final void createHarness() throws IOException {
    harness = new CourierHarness(workDirectory);
  }

  @AfterEach
  final void closeHarness() throws IOException {
    harness.close();
  }
}
