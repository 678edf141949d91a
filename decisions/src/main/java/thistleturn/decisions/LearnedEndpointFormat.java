package thistleturn.decisions;

import java.util.Arrays;

/**
 * The layout of the figures and moments (times) of an endpoint in {@link LearnedState}; part of its
 * format.
 *
 * <p>The figures are the consecutive failures of each message class; then, for each class, the
 * longest recent latency and the number of samples. The moments are the times until which the
 * endpoint is avoided for each class; then those of the last call and the last success.
 */
final class LearnedEndpointFormat {
  /** Number of latency figures of a class. */
  private static final int FIGURES_OF_LATENCY = 2;

  private LearnedEndpointFormat() {}

  static double[] figures(final EndpointHealth endpoint) {
    final int classes = endpoint.classCount();
    final double[] figures =
        Arrays.copyOf(endpoint.failureRuns(), (1 + FIGURES_OF_LATENCY) * classes);
    for (int index = 0; index < classes; index++) {
      final double[] latency = endpoint.classStatistics(index).learnedValues();
      final int place = classes + FIGURES_OF_LATENCY * index;
      figures[place] = latency[0];
      figures[place + 1] = latency[1];
    }
    return figures;
  }

  static long[] moments(final EndpointHealth endpoint) {
    final int classes = endpoint.classCount();
    final long[] moments = Arrays.copyOf(endpoint.avoidUntilUs(), classes + 2);
    moments[classes] = endpoint.lastSendUs();
    moments[classes + 1] = endpoint.lastSuccessUs();
    return moments;
  }

  /** Restores the learned figures and moments of an endpoint. */
  static void restore(final EndpointHealth endpoint, final double[] figures, final long[] moments) {
    final int classes = endpoint.classCount();
    endpoint.restore(figures, moments, moments[classes], moments[classes + 1]);
    for (int index = 0; index < classes; index++) {
      final int place = classes + FIGURES_OF_LATENCY * index;
      endpoint.classStatistics(index).restore(figures[place], figures[place + 1]);
    }
  }
}
