package thistleturn.benchmarks;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;

/**
 * What something costs on this thread: processor time and allocated bytes, the medians of several
 * runs.
 */
record Cost(double cpuMs, double allocatedKb) {
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private static final double NS_PER_MS = 1e6;
  private static final double BYTES_PER_KB = 1024;
  private static final int GC_ROUNDS = 4;

  /** One run of what is measured. */
  @FunctionalInterface
  interface Work {
    /** Does it; the result is looked at, lest it be left out. */
    Object run() throws Exception;
  }

  /** Runs it some times unmeasured, then some times measured. */
  static Cost of(final int warmUps, final int runs, final Work work) throws Exception {
    int seen = 0;
    for (int run = 0; run < warmUps; run++) {
      seen ^= System.identityHashCode(work.run());
    }
    final double[] cpuMs = new double[runs];
    final double[] kb = new double[runs];
    final long thread = Thread.currentThread().getId();
    for (int run = 0; run < runs; run++) {
      final long bytes = THREADS.getThreadAllocatedBytes(thread);
      final long ns = THREADS.getCurrentThreadCpuTime();
      seen ^= System.identityHashCode(work.run());
      cpuMs[run] = (THREADS.getCurrentThreadCpuTime() - ns) / NS_PER_MS;
      kb[run] = (THREADS.getThreadAllocatedBytes(thread) - bytes) / BYTES_PER_KB;
    }
    if (seen == Integer.MIN_VALUE) {
      System.err.print("");
    }
    Arrays.sort(cpuMs);
    Arrays.sort(kb);
    return new Cost(cpuMs[runs / 2], kb[runs / 2]);
  }

  /** Heap in use once what nobody holds is gone, bytes. */
  static long heapBytes() {
    final Runtime runtime = Runtime.getRuntime();
    long least = Long.MAX_VALUE;
    for (int round = 0; round < GC_ROUNDS; round++) {
      System.gc();
      least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
    }
    return least;
  }
}
