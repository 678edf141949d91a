package thistleturn.benchmarks;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The mean difference of a figure between days that were played twice by the same seeds, and half
 * of its interval of 95%.
 *
 * @param mean of the first less the second
 * @param halfWidth Student's, two-sided
 */
public record PairedDifference(double mean, double halfWidth) {
  /**
   * Student's t for a two-sided interval of 95%, from two pairs on; beyond the last, the normal
   * one's 1.96.
   */
  private static final double[] STUDENT = {
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045
  };

  private static final double NORMAL = 1.96;

  /** Of two lists in the same order of seeds, two days at least. */
  public static <T> PairedDifference of(
      final List<T> first, final List<T> second, final ToDoubleFunction<T> figure) {
    final int seeds = first.size();
    double sum = 0;
    double squares = 0;
    for (int index = 0; index < seeds; index++) {
      final double difference =
          figure.applyAsDouble(first.get(index)) - figure.applyAsDouble(second.get(index));
      sum += difference;
      squares += difference * difference;
    }
    final double mean = sum / seeds;
    final double deviation = Math.sqrt(Math.max(0, squares - seeds * mean * mean) / (seeds - 1));
    final double student = seeds - 2 < STUDENT.length ? STUDENT[seeds - 2] : NORMAL;
    return new PairedDifference(mean, student * deviation / Math.sqrt(seeds));
  }
}
