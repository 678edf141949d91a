package thistleturn.benchmarks.replicas;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thistleturn.decisions.replicas.Delta;
import thistleturn.decisions.replicas.Entry;
import thistleturn.decisions.replicas.EntryType;
import thistleturn.decisions.replicas.ReplicationActions;
import thistleturn.decisions.replicas.ReplicationMessage;
import thistleturn.decisions.replicas.ReplicationProtocol;
import thistleturn.decisions.replicas.ReplicationSettings;
import thistleturn.decisions.replicas.WriterId;
import thistleturn.lab.replicas.ReplicationScenario;
import thistleturn.lab.replicas.VirtualReplicas;
import thistleturn.testkit.rig.Schedule;

/**
 * Measures replicas under random schedules of faults in virtual time, and the cost of catching up.
 */
@Command(
    name = "replicas-virtual",
    mixinStandardHelpOptions = true,
    description =
        "Replicas under random schedules: when they are equal, whether any entry reappears or is lost; bytes to catch up.")
public final class MeasureVirtualReplicas implements Callable<Integer> {
  private static final long NOW = 1_000_000_000L;
  private static final int WRITERS = 20;
  private static final int MS_PER_S = 1000;
  private static final int LOAD_MS = 12_000;
  private static final int SETTLED_MS = 2000;
  private static final int SUBJECTS = 5000;

  @Option(
      names = "--schedules",
      defaultValue = "10000",
      description = "schedules in all; default: ${DEFAULT-VALUE}")
  private int schedules;

  @Option(
      names = "--members",
      split = ",",
      defaultValue = "3,8,20",
      description = "fleet sizes; default: ${DEFAULT-VALUE}")
  private List<Integer> sizes;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "seed of the first schedule; default: ${DEFAULT-VALUE}")
  private long seed;

  private record RunResult(long seed, long settledMs, String broken, long bytes) {}

  @Override
  public Integer call() {
    System.out.println(
        "| members | loss | schedules | equal after the last fault, ms: p50 | p99 | most | not equal after 12 s | lost, come back or "
            + "wrongly read | bytes a second a member |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    int broken = 0;
    final double[] losses = {0, 0.05, 0.2};
    for (final int size : sizes) {
      for (final double loss : losses) {
        broken += row(size, loss, schedules / (sizes.size() * losses.length));
      }
    }
    System.out.println();
    catchUp();
    System.out.println();
    System.out.println(
        "| members | changes a second | bytes a second a member | equal after the last change, ms | milliseconds of a core for a second |");
    System.out.println("| --- | --- | --- | --- | --- |");
    for (final int size : new int[] {5, 20, 100}) {
      for (final int changes : new int[] {0, 10, 1000}) {
        measureLoad(size, changes);
      }
    }
    return broken == 0 ? 0 : 1;
  }

  private int row(final int members, final double loss, final int count) {
    final List<RunResult> all =
        LongStream.range(seed, seed + count)
            .parallel()
            .mapToObj(
                one -> {
                  final ReplicationScenario day =
                      ReplicationScenario.random(one * 31 + members, members, loss);
                  final String broken = day.play();
                  return new RunResult(one, day.settledMs(), broken, day.world().bytes());
                })
            .toList();
    final List<Long> settled =
        new ArrayList<>(all.stream().map(RunResult::settledMs).filter(ms -> ms >= 0).toList());
    Collections.sort(settled);
    final long late = all.stream().filter(one -> one.settledMs < 0).count();
    final long broken = all.stream().filter(one -> !one.broken.isEmpty()).count();
    all.stream()
        .filter(one -> !one.broken.isEmpty())
        .limit(3)
        .forEach(one -> System.out.println("BROKEN, seed " + one.seed + ": " + one.broken));
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %d | %.2f | %d | %d | %d | %d | %d | %d | %.0f |",
            members,
            loss,
            count,
            settled.get(settled.size() / 2),
            settled.get((int) (settled.size() * 0.99)),
            settled.get(settled.size() - 1),
            late,
            broken,
            all.stream().mapToLong(RunResult::bytes).average().orElse(0) / 40 / members));
    return (int) broken;
  }

  /** Makes the given number of changes a second across the fleet for ten seconds. */
  private static void measureLoad(final int members, final int changesPerS) {
    final VirtualReplicas world =
        new VirtualReplicas(
            new Schedule(members, 5, LOAD_MS, List.of()), ReplicationSettings.defaults());
    for (int number = 0; number < changesPerS * (LOAD_MS - SETTLED_MS) / MS_PER_S; number++) {
      final int one = number;
      world.at(
          SETTLED_MS + number * (long) MS_PER_S / changesPerS,
          () -> {
            final VirtualReplicas.Courier courier = world.courier(one % members);
            courier
                .replicas()
                .recordRateLimit(String.valueOf(one % SUBJECTS), 1 + one, courier.nowUs());
          });
    }
    final long fromNs = System.nanoTime();
    world.play();
    final double cpuMs = (System.nanoTime() - fromNs) / 1e6;
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %d | %d | %.0f | %d | %.2f |",
            members,
            changesPerS,
            world.bytes() * (double) MS_PER_S / LOAD_MS / members,
            world.settle(LOAD_MS),
            cpuMs * MS_PER_S / LOAD_MS / members));
  }

  /**
   * Prints the bytes that two replicas exchange to become equal, the time that takes at the limit
   * on bytes a second, and the bytes of sending every entry.
   */
  private static void catchUp() {
    System.out.println(
        "| entries | share that differs | bytes | seconds at the bound | messages | telling everything, bytes |");
    System.out.println("| --- | --- | --- | --- | --- | --- |");
    for (final int entries : new int[] {1000, 10_000, 100_000}) {
      for (final double share : new double[] {0, 0.01, 0.1, 1}) {
        final ReplicaPair pair = new ReplicaPair(entries, share);
        pair.exchange();
        System.out.println(
            String.format(
                Locale.ROOT,
                "| %d | %.2f | %d | %.1f | %d | %d |",
                entries,
                share,
                pair.bytes,
                pair.bytes / (double) ReplicationSettings.defaults().batchBytesPerSecond(),
                pair.messages,
                pair.allEntriesBytes));
      }
    }
  }

  /** A full replica, and one that lacks the latest entries of each writer. */
  private static final class ReplicaPair implements ReplicationActions {
    private final ReplicationProtocol full =
        new ReplicationProtocol(
            ReplicationSettings.defaults(), new WriterId("full", 1), 1, NOW, this);
    private final ReplicationProtocol part =
        new ReplicationProtocol(
            ReplicationSettings.defaults(), new WriterId("part", 1), 2, NOW, this);
    private final Deque<Runnable> due = new ArrayDeque<>();
    private final int entries;
    private long bytes;
    private long messages;
    private long allEntriesBytes;
    private long nowUs = NOW;

    ReplicaPair(final int entries, final double share) {
      this.entries = entries;
      final List<Delta> all = new ArrayList<>();
      final List<Delta> partial = new ArrayList<>();
      for (int writer = 0; writer < WRITERS; writer++) {
        final WriterId by = new WriterId("writer-" + writer, 5);
        final List<Entry> entriesOfWriter = new ArrayList<>();
        for (int number = 1; number <= entries / WRITERS; number++) {
          entriesOfWriter.add(
              new Entry(
                  EntryType.LIMIT.code(),
                  String.valueOf(writer * 1_000_000L + number),
                  by,
                  number,
                  EntryType.LIMIT.maxTtlUs(),
                  NOW,
                  List.of(12.5)));
        }
        final int known = (int) Math.round(entriesOfWriter.size() * (1 - share));
        all.add(new Delta(by, 0, entriesOfWriter.size(), entriesOfWriter));
        partial.add(new Delta(by, 0, known, entriesOfWriter.subList(0, known)));
      }
      full.restore(all, 0, NOW);
      part.restore(partial, 0, NOW);
      full.setReachablePeers(List.of("part"));
      part.setReachablePeers(List.of("full"));
      allEntriesBytes = all.stream().mapToLong(Delta::estimatedBytes).sum();
    }

    /** Exchanges messages until both replicas are equal, by reconciliation alone. */
    void exchange() {
      part.onMessage(
          "full", new ReplicationMessage.Checksum(full.checksum(), full.entryCount()), nowUs);
      for (int turn = 0; turn < 100_000 && part.checksum() != full.checksum(); turn++) {
        nowUs += ReplicationSettings.defaults().tickIntervalUs();
        full.tick(nowUs);
        part.tick(nowUs);
        while (!due.isEmpty()) {
          due.poll().run();
        }
      }
      if (part.checksum() != full.checksum() || part.entryCount() != entries / WRITERS * WRITERS) {
        throw new IllegalStateException(
            "replicas still differ: " + part.entryCount() + " of " + entries);
      }
    }

    @Override
    public void send(final String to, final ReplicationMessage message) {
      bytes += message.estimatedBytes();
      messages++;
      due.add(
          () ->
              (to.equals("full") ? full : part)
                  .onMessage(to.equals("full") ? "part" : "full", message, nowUs));
    }

    @Override
    public void sendOverConnection(final String to, final ReplicationMessage message) {
      send(to, message);
    }

    @Override
    public void onSubjectChanged(final EntryType kind, final String subject) {
      // Nothing depends on the merged values here.
    }

    @Override
    public void onEvent(final String text) {
      throw new IllegalStateException(text);
    }
  }
}
