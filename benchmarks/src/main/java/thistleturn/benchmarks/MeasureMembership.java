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
 * Measures what following a registry costs a courier, compared with Netflix's client: processor
 * time, allocation and retained heap for complete responses and deltas.
 */
@Command(
    name = "membership",
    mixinStandardHelpOptions = true,
    description =
        "Complete responses of 100, 1,000 and 10,000 instances, deltas of 1%% of them, and Netflix's own parser.")
final class MeasureMembership implements Callable<Integer> {
  private static final int[] SIZES = {100, 1_000, 10_000};
  private static final long SECOND_US = 1_000_000;
  private static final int MEASURED_RUNS = 15;

  @Override
  public Integer call() throws Exception {
    System.out.println(
        "| instances | answer KB | first whole: CPU ms | alloc KB | whole again: CPU ms "
            + "| alloc KB | heap B/instance | delta 1%: CPU ms "
            + "| alloc KB | Netflix whole: CPU ms | alloc KB | heap B/instance | CPU ratio, first | CPU ratio, again | heap ratio |");
    System.out.println(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (final int size : SIZES) {
      printRow(size);
    }
    return 0;
  }

  /** The state that the courier keeps for one registry. */
  private static final class RegistryState {
    private final Membership membership = new Membership(MergeSettings.defaults());
    private final EurekaAnswer.Memory memory = new EurekaAnswer.Memory();
    private long nowUs = SECOND_US;

    RegistryState() {
      membership.addSource(nowUs, "r", 1, false);
    }

    private int apply(final byte[] response, final boolean complete) throws IOException {
      final EurekaAnswer answer =
          new EurekaAnswer(MetadataNames.standard(), new EurekaMapping(), memory, !complete);
      answer.feed(Unpooled.wrappedBuffer(response));
      answer.end();
      answer.remember(memory);
      nowUs += SECOND_US;
      if (complete) {
        membership.applySnapshot(nowUs, "r", answer.reports());
      } else {
        membership.applyChanges(nowUs, "r", answer.reports(), answer.deleted());
      }
      return membership.collectChanges(nowUs).size();
    }
  }

  private static void printRow(final int size) throws Exception {
    final byte[] complete = RegistryText.of(0, size, "UP", "UP_" + size + "_", null);
    final byte[] down = RegistryText.of(0, Math.max(1, size / 100), "DOWN", "-", "MODIFIED");
    final byte[] up = RegistryText.of(0, Math.max(1, size / 100), "UP", "-", "MODIFIED");
    final int warmUps = Math.max(30, 30_000 / size);
    final RegistryState state = new RegistryState();
    final Cost firstComplete =
        Cost.of(warmUps, MEASURED_RUNS, () -> new RegistryState().apply(complete, true));
    final Cost repeatedComplete =
        Cost.of(warmUps, MEASURED_RUNS, () -> state.apply(complete, true));
    final boolean[] isDown = new boolean[1];
    final Cost delta =
        Cost.of(
            warmUps * 10,
            MEASURED_RUNS,
            () -> {
              isDown[0] = !isDown[0];
              return state.apply(isDown[0] ? down : up, false);
            });
    final DecoderWrapper netflixDecoder = CodecWrappers.getCodec(CodecWrappers.JacksonJson.class);
    final Cost netflix =
        Cost.of(
            warmUps,
            MEASURED_RUNS,
            () -> netflixDecoder.decode(new ByteArrayInputStream(complete), Applications.class));
    final long initialHeap = Cost.heapBytes();
    final RegistryState retainedState = new RegistryState();
    retainedState.apply(complete, true);
    final long heapWithRegistryState = Cost.heapBytes();
    final Applications applications =
        netflixDecoder.decode(new ByteArrayInputStream(complete), Applications.class);
    final long heapWithBoth = Cost.heapBytes();
    if (retainedState.membership.endpoints().size() != size || applications.size() != size) {
      throw new IllegalStateException(
          "the number of parsed instances differs from the number in the response");
    }
    final double courierHeapPerInstance = (double) (heapWithRegistryState - initialHeap) / size;
    final double netflixHeapPerInstance = (double) (heapWithBoth - heapWithRegistryState) / size;
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %,d | %,d | %.2f | %,.0f | %.2f | %,.0f | %.0f | %.3f | %,.0f | %.2f | %,.0f | %.0f | %.2f | %.2f "
                + "| %.2f |",
            size,
            complete.length / 1024,
            firstComplete.cpuMs(),
            firstComplete.allocatedKb(),
            repeatedComplete.cpuMs(),
            repeatedComplete.allocatedKb(),
            courierHeapPerInstance,
            delta.cpuMs(),
            delta.allocatedKb(),
            netflix.cpuMs(),
            netflix.allocatedKb(),
            netflixHeapPerInstance,
            firstComplete.cpuMs() / netflix.cpuMs(),
            repeatedComplete.cpuMs() / netflix.cpuMs(),
            courierHeapPerInstance / netflixHeapPerInstance));
  }
}
