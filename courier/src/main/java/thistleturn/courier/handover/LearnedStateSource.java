package thistleturn.courier.handover;

import java.util.List;
import java.util.Map;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.LearnedState;

/**
 * The learned state of an earlier process of this courier: handed over by a running process, or
 * read from the files of one that has ended. Endpoints have the numbers of that process.
 */
public interface LearnedStateSource {
  /** Returns the endpoints of the learned state, with their numbers in the earlier process. */
  List<HandoverSnapshot.NumberedEndpoint> endpoints();

  /**
   * Returns the learned state, as far as it is still valid.
   *
   * @param endpointNumbers maps endpoint numbers of the earlier process to those of this one;
   *     endpoints without a mapping are omitted
   */
  LearnedState learnedState(Map<Long, Long> endpointNumbers, Clock clock);

  /** Returns a state with mapped endpoint numbers, without the endpoints that have no mapping. */
  static LearnedState withEndpointNumbers(
      final LearnedState state, final Map<Long, Long> endpointNumbers) {
    final List<LearnedState.LearnedRoute> routes =
        state.routes().stream()
            .filter(route -> endpointNumbers.containsKey(route.endpointId()))
            .map(
                route ->
                    new LearnedState.LearnedRoute(
                        endpointNumbers.get(route.endpointId()), route.figures(), route.moments()))
            .toList();
    final List<LearnedState.LearnedEndpoint> endpoints =
        state.endpoints().stream()
            .filter(endpoint -> endpointNumbers.containsKey(endpoint.endpointId()))
            .map(
                endpoint ->
                    new LearnedState.LearnedEndpoint(
                        endpointNumbers.get(endpoint.endpointId()),
                        endpoint.figures(),
                        endpoint.moments()))
            .toList();
    return new LearnedState(
        state.classMeanUs(), state.classSamples(), state.trustedIdleUs(), routes, endpoints);
  }
}
