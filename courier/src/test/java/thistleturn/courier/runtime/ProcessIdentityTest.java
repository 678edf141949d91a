package thistleturn.courier.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import thistleturn.courier.runtime.ProcessIdentity.State;

/** Whether a process has ended depends on its threads, not on its open files. */
@Tag("operators")
@Timeout(60)
final class ProcessIdentityTest {
  private static final long TIMEOUT_S = 20;

  private static void awaitEnd(final ProcessIdentity process) {
    final long untilNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
    while (process.state() != State.ENDED) {
      assertTrue(System.nanoTime() < untilNs, "has not ended: " + process);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
  }

  @Test
  void identityAsText_isParsedUnchanged() {
    final ProcessIdentity own = ProcessIdentity.current();
    assertEquals(ProcessHandle.current().pid(), own.pid());
    assertEquals(Optional.of(own), ProcessIdentity.parse(own.toText()));
    assertEquals(
        "17 420 boot 4026531836", new ProcessIdentity(17, 420, "boot", "4026531836").toText());
  }

  @Test
  void malformedText_isNotParsed() {
    assertEquals(Optional.empty(), ProcessIdentity.parse(""));
    assertEquals(Optional.empty(), ProcessIdentity.parse("17 420 boot"));
    assertEquals(Optional.empty(), ProcessIdentity.parse("x 420 boot 1"));
  }

  @Test
  void killedProcess_hasEnded() throws IOException {
    final Process child = new ProcessBuilder("sleep", "60").start();
    final ProcessIdentity identity = RunningProcess.identityOf(child.pid());
    assertEquals(State.RUNNING, identity.state());
    assertEquals(State.RUNNING, ProcessIdentity.current().state());
    child.destroyForcibly();
    awaitEnd(identity);
  }

  // Guards against waiting for ever for a zombie, which stays in the process table until its parent
  // has waited for it.
  @Test
  void zombieProcess_hasEnded() throws IOException {
    final Process parent =
        new ProcessBuilder("sh", "-c", "sleep 0.2 & echo $!; exec sleep 60").start();
    try (BufferedReader out =
        new BufferedReader(
            new InputStreamReader(parent.getInputStream(), StandardCharsets.UTF_8))) {
      final long pid = Long.parseLong(out.readLine());
      awaitEnd(RunningProcess.identityOf(pid));
      assertTrue(Files.exists(Path.of("/proc/" + pid)), "the zombie is in the process table");
    } finally {
      parent.destroyForcibly();
    }
  }

  // Guards against mistaking a process for an earlier one with the same process id.
  @Test
  void reusedProcessId_isAnotherProcess() {
    final ProcessIdentity own = ProcessIdentity.current();
    assertEquals(
        State.ENDED,
        new ProcessIdentity(own.pid(), own.startTicks() - 1, own.bootId(), own.pidNamespace())
            .state());
    assertEquals(
        State.ENDED,
        new ProcessIdentity(own.pid(), own.startTicks(), "earlier", own.pidNamespace()).state());
  }

  @Test
  void processOfAnotherNamespace_isUnknown() {
    final ProcessIdentity own = ProcessIdentity.current();
    assertEquals(
        State.UNKNOWN, new ProcessIdentity(own.pid(), own.startTicks(), own.bootId(), "1").state());
  }
}
