package thistleturn.courier.handover;

import java.util.List;
import java.util.Map;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.LearnedState;

/**
 * What an earlier process of this courier has learned, for the next one: handed over by a process
 * that is alive, or read from the files of one that died. Endpoints have the numbers of that
 * process.
 */
public interface LearnedStateSource {
  /** Returns the endpoints that it describes, with their numbers there. */
  List<HandoverSnapshot.NumberedEndpoint> endpoints();

  /**
   * Returns what was learned, as far as it can be trusted now.
   *
   * @param endpointNumbers maps numbers of endpoints there to those here; others are left out
   */
  LearnedState learnedState(Map<Long, Long> endpointNumbers, Clock clock);

  /** Returns a state with other numbers for its endpoints, without those that have none. */
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
