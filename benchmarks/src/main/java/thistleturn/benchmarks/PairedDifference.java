package thistleturn.benchmarks;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Mean difference of a figure between two series of runs paired by seed, with its 95% confidence
 * interval.
 *
 * @param mean mean of the first series minus the second
 * @param halfWidth half the width of the two-sided 95% confidence interval by Student's t
 */
public record PairedDifference(double mean, double halfWidth) {
  /**
   * Student's t quantiles for a two-sided 95% interval, starting at one degree of freedom (two
   * pairs); beyond the last entry the normal quantile 1.96 applies.
   */
  private static final double[] T_QUANTILES = {
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160,
    2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056,
    2.052, 2.048, 2.045
  };

  private static final double NORMAL_QUANTILE = 1.96;

  /** Compares two lists in the same order of seeds, with at least two runs each. */
  public static <T> PairedDifference of(
      final List<T> first, final List<T> second, final ToDoubleFunction<T> figure) {
    final int pairs = first.size();
    double sum = 0;
    double squareSum = 0;
    for (int index = 0; index < pairs; index++) {
      final double difference =
          figure.applyAsDouble(first.get(index)) - figure.applyAsDouble(second.get(index));
      sum += difference;
      squareSum += difference * difference;
    }
    final double mean = sum / pairs;
    final double deviation = Math.sqrt(Math.max(0, squareSum - pairs * mean * mean) / (pairs - 1));
    final double quantile =
        pairs - 2 < T_QUANTILES.length ? T_QUANTILES[pairs - 2] : NORMAL_QUANTILE;
    return new PairedDifference(mean, quantile * deviation / Math.sqrt(pairs));
  }
}
