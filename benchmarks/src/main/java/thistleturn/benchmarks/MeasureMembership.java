package thistleturn.benchmarks;

import com.netflix.discovery.converters.wrappers.CodecWrappers;
import com.netflix.discovery.converters.wrappers.DecoderWrapper;
import com.netflix.discovery.shared.Applications;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import thistleturn.decisions.membership.Membership;
import thistleturn.decisions.membership.MergeSettings;
import thistleturn.eureka.EurekaAnswer;
import thistleturn.eureka.EurekaMapping;
import thistleturn.eureka.MetadataNames;

/**
 * What a registry costs a courier: whole answers, deltas and what is held, beside Netflix's client.
 */
@Command(
    name = "membership",
    mixinStandardHelpOptions = true,
    description =
        "Whole answers and deltas of 1%% of 100, 1,000 and 10,000 instances, beside Netflix's own parser.")
final class MeasureMembership implements Callable<Integer> {
  private static final int[] SIZES = {100, 1_000, 10_000};
  private static final long SECOND = 1_000_000;
  private static final int RUNS = 15;

  @Override
  public Integer call() throws Exception {
    System.out.println(
        "| instances | answer KB | first whole: CPU ms | alloc KB | whole again: CPU ms "
            + "| alloc KB | heap B/instance | delta 1%: CPU ms "
            + "| alloc KB | Netflix whole: CPU ms | alloc KB | heap B/instance | CPU ratio, first | CPU ratio, again | heap ratio |");
    System.out.println(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (final int size : SIZES) {
      row(size);
    }
    return 0;
  }

  /** What the courier holds of a registry. */
  private static final class Held {
    private final Membership membership = new Membership(MergeSettings.defaults());
    private final EurekaAnswer.Memory memory = new EurekaAnswer.Memory();
    private long nowUs = SECOND;

    Held() {
      membership.addSource(nowUs, "r", 1, false);
    }

    private int take(final byte[] text, final boolean whole) throws IOException {
      final EurekaAnswer answer =
          new EurekaAnswer(MetadataNames.standard(), new EurekaMapping(), memory, !whole);
      answer.feed(Unpooled.wrappedBuffer(text));
      answer.end();
      answer.remember(memory);
      nowUs += SECOND;
      if (whole) {
        membership.applySnapshot(nowUs, "r", answer.reports());
      } else {
        membership.applyChanges(nowUs, "r", answer.reports(), answer.deleted());
      }
      return membership.collectChanges(nowUs).size();
    }
  }

  private static void row(final int size) throws Exception {
    final byte[] whole = RegistryText.of(0, size, "UP", "UP_" + size + "_", null);
    final byte[] down = RegistryText.of(0, Math.max(1, size / 100), "DOWN", "-", "MODIFIED");
    final byte[] up = RegistryText.of(0, Math.max(1, size / 100), "UP", "-", "MODIFIED");
    final int warmUps = Math.max(30, 30_000 / size);
    final Held held = new Held();
    final Cost first = Cost.of(warmUps, RUNS, () -> new Held().take(whole, true));
    final Cost ours = Cost.of(warmUps, RUNS, () -> held.take(whole, true));
    final boolean[] isDown = new boolean[1];
    final Cost delta =
        Cost.of(
            warmUps * 10,
            RUNS,
            () -> {
              isDown[0] = !isDown[0];
              return held.take(isDown[0] ? down : up, false);
            });
    final DecoderWrapper codec = CodecWrappers.getCodec(CodecWrappers.JacksonJson.class);
    final Cost theirs =
        Cost.of(
            warmUps, RUNS, () -> codec.decode(new ByteArrayInputStream(whole), Applications.class));
    final long before = Cost.heapBytes();
    final Held fresh = new Held();
    fresh.take(whole, true);
    final long between = Cost.heapBytes();
    final Applications applications =
        codec.decode(new ByteArrayInputStream(whole), Applications.class);
    final long after = Cost.heapBytes();
    if (fresh.membership.endpoints().size() != size || applications.size() != size) {
      throw new IllegalStateException("the answer was not read whole");
    }
    final double ourHeap = (double) (between - before) / size;
    final double theirHeap = (double) (after - between) / size;
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %,d | %,d | %.2f | %,.0f | %.2f | %,.0f | %.0f | %.3f | %,.0f | %.2f | %,.0f | %.0f | %.2f | %.2f "
                + "| %.2f |",
            size,
            whole.length / 1024,
            first.cpuMs(),
            first.allocatedKb(),
            ours.cpuMs(),
            ours.allocatedKb(),
            ourHeap,
            delta.cpuMs(),
            delta.allocatedKb(),
            theirs.cpuMs(),
            theirs.allocatedKb(),
            theirHeap,
            first.cpuMs() / theirs.cpuMs(),
            ours.cpuMs() / theirs.cpuMs(),
            ourHeap / theirHeap));
  }
}
