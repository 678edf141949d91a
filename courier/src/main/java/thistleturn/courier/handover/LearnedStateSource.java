package thistleturn.courier.handover;

import java.util.List;
import java.util.Map;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.LearnedState;

/**
 * What an earlier process of this courier had learnt, as the next one takes it up: handed over by
 * one that lives, or found in the folder of one that died. Endpoints are known there by numbers of
 * that process's own.
 */
public interface LearnedStateSource {
  /** The endpoints that it speaks of, each with its number there. */
  List<HandoverSnapshot.NumberedEndpoint> endpoints();

  /**
   * What was learnt, as it can be trusted at this moment.
   *
   * @param numbers the numbers of endpoints there, to those here; of others nothing is told
   */
  LearnedState learnedState(Map<Long, Long> numbers, Clock clock);

  /** The same with other numbers for its endpoints; what has none is left out. */
  static LearnedState withEndpointNumbers(
      final LearnedState memory, final Map<Long, Long> numbers) {
    return new LearnedState(
        memory.classMeanUs(),
        memory.classSamples(),
        memory.trustedIdleUs(),
        memory.routes().stream()
            .filter(one -> numbers.containsKey(one.endpointId()))
            .map(
                one ->
                    new LearnedState.LearnedRoute(
                        numbers.get(one.endpointId()), one.figures(), one.moments()))
            .toList(),
        memory.endpoints().stream()
            .filter(one -> numbers.containsKey(one.endpointId()))
            .map(
                one ->
                    new LearnedState.LearnedEndpoint(
                        numbers.get(one.endpointId()), one.figures(), one.moments()))
            .toList());
  }
}
