package thistleturn.benchmarks;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;

/**
 * Processor time and allocated memory of one operation on the current thread, as medians over
 * several runs.
 */
record Cost(double cpuMs, double allocatedKb) {
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private static final double NS_PER_MS = 1e6;
  private static final double BYTES_PER_KB = 1024;
  private static final int GC_ROUNDS = 4;

  /** The measured operation. */
  @FunctionalInterface
  interface Work {
    /** Runs the operation once; using its result keeps the JIT from eliminating the work. */
    Object run() throws Exception;
  }

  /** Runs the operation {@code warmUps} times unmeasured, then {@code runs} times measured. */
  static Cost of(final int warmUps, final int runs, final Work work) throws Exception {
    int resultHash = 0;
    for (int run = 0; run < warmUps; run++) {
      resultHash ^= System.identityHashCode(work.run());
    }
    final double[] cpuMs = new double[runs];
    final double[] allocatedKb = new double[runs];
    final long threadId = Thread.currentThread().getId();
    for (int run = 0; run < runs; run++) {
      final long startBytes = THREADS.getThreadAllocatedBytes(threadId);
      final long startNs = THREADS.getCurrentThreadCpuTime();
      resultHash ^= System.identityHashCode(work.run());
      cpuMs[run] = (THREADS.getCurrentThreadCpuTime() - startNs) / NS_PER_MS;
      allocatedKb[run] = (THREADS.getThreadAllocatedBytes(threadId) - startBytes) / BYTES_PER_KB;
    }
    if (resultHash == Integer.MIN_VALUE) {
      System.err.print("");
    }
    Arrays.sort(cpuMs);
    Arrays.sort(allocatedKb);
    return new Cost(cpuMs[runs / 2], allocatedKb[runs / 2]);
  }

  /** Returns the heap in use, bytes: the minimum after each of several garbage collections. */
  static long heapBytes() {
    final Runtime runtime = Runtime.getRuntime();
    long minBytes = Long.MAX_VALUE;
    for (int round = 0; round < GC_ROUNDS; round++) {
      System.gc();
      minBytes = Math.min(minBytes, runtime.totalMemory() - runtime.freeMemory());
    }
    return minBytes;
  }
}
