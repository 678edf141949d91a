package thistleturn.decisions;

/**
 * Table I of the paper (section V): a Mamdani controller with triangular sets, minimum for AND and
 * maximum over the rules of an output.
 */
final class FuzzyRuleTable {
  /** The changes of a window that the rules give, as fractions of the window. */
  private static final double[] OUTPUTS = {0.4, 0.2, 0, -0.2, -0.4, -0.6};

  /**
   * Index into {@link #OUTPUTS}: rows by latency, columns by rejections, each Low, Medium, High.
   */
  private static final int[][] RULE_OUTPUT_INDEX = {{0, 1, 3}, {1, 2, 4}, {3, 4, 5}};

  private FuzzyRuleTable() {}

  /**
   * Returns the change of a window as a fraction of it, defuzzified by the center average.
   *
   * @param latency how far latency lies above the baseline, from 0 to 1
   * @param rejection the ratio of rejections; clamped to the range from 0 to 1
   */
  static double windowChange(final double latency, final double rejection) {
    final double[] union = new double[OUTPUTS.length];
    final double boundedRejection = PriorityValue.clamp(rejection, 0, 1);
    for (int row = 0; row < RULE_OUTPUT_INDEX.length; row++) {
      for (int column = 0; column < RULE_OUTPUT_INDEX.length; column++) {
        final int output = RULE_OUTPUT_INDEX[row][column];
        final double both =
            Math.min(membership(row, latency), membership(column, boundedRejection));
        union[output] = Math.max(union[output], both);
      }
    }
    return centerAverage(union);
  }

  private static double centerAverage(final double[] union) {
    double sum = 0;
    double weights = 0;
    for (int output = 0; output < OUTPUTS.length; output++) {
      sum += OUTPUTS[output] * union[output];
      weights += union[output];
    }
    return sum / weights;
  }

  /**
   * Returns the degree to which an input is Low, Medium or High: triangular sets with peaks at 0,
   * 0.5 and 1.
   */
  private static double membership(final int set, final double input) {
    return Math.max(0, 1 - Math.abs(2 * input - set));
  }
}
