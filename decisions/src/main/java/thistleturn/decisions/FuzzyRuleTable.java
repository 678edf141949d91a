package thistleturn.decisions;

/**
 * The paper's Table I (section V): a Mamdani controller with triangles, min for AND, max for an
 * output's rules.
 */
final class FuzzyRuleTable {
  /** Rows by latency, columns by refusals, each Low, Medium, High: places in the outputs. */
  private static final double[] OUTPUTS = {0.4, 0.2, 0, -0.2, -0.4, -0.6};

  private static final int[][] RULE_OUTPUT_INDEX = {{0, 1, 3}, {1, 2, 4}, {3, 4, 5}};

  private FuzzyRuleTable() {}

  /**
   * The change of a window, as a share of it, from latency between 0 and 1 and refusals, cut to
   * that; defuzzified by central average.
   */
  static double windowChange(final double latency, final double refusal) {
    final double[] union = new double[OUTPUTS.length];
    for (int row = 0; row < RULE_OUTPUT_INDEX.length; row++) {
      for (int column = 0; column < RULE_OUTPUT_INDEX.length; column++) {
        final double both =
            Math.min(
                membership(row, latency), membership(column, PriorityValue.clamp(refusal, 0, 1)));
        union[RULE_OUTPUT_INDEX[row][column]] =
            Math.max(union[RULE_OUTPUT_INDEX[row][column]], both);
      }
    }
    double sum = 0;
    double weights = 0;
    for (int output = 0; output < OUTPUTS.length; output++) {
      sum += OUTPUTS[output] * union[output];
      weights += union[output];
    }
    return sum / weights;
  }

  /** Triangles with their peaks at 0, 0.5 and 1: how Low, Medium or High an input is. */
  private static double membership(final int set, final double input) {
    return Math.max(0, 1 - Math.abs(2 * input - set));
  }
}
