package thistleturn.decisions;

/**
 * Table I of the paper (section V): a Mamdani controller with triangular sets, minimum for AND and
 * maximum over the rules of an output.
 */
final class FuzzyRuleTable {
  /** The changes of a window that rules give, as shares of it. */
  private static final double[] OUTPUTS = {0.4, 0.2, 0, -0.2, -0.4, -0.6};

  /** Rows by latency, columns by rejections, each Low, Medium, High: places in the outputs. */
  private static final int[][] RULE_OUTPUT_INDEX = {{0, 1, 3}, {1, 2, 4}, {3, 4, 5}};

  private FuzzyRuleTable() {}

  /**
   * Returns the change of a window as a share of it, defuzzified by the central average.
   *
   * @param latency how far latency lies above the baseline, from 0 to 1
   * @param rejection the ratio of rejections; taken for 0 or 1 beyond these
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
    return centralAverage(union);
  }

  private static double centralAverage(final double[] union) {
    double sum = 0;
    double weights = 0;
    for (int output = 0; output < OUTPUTS.length; output++) {
      sum += OUTPUTS[output] * union[output];
      weights += union[output];
    }
    return sum / weights;
  }

  /** Returns how Low, Medium or High an input is: triangles with their peaks at 0, 0.5 and 1. */
  private static double membership(final int set, final double input) {
    return Math.max(0, 1 - Math.abs(2 * input - set));
  }
}
