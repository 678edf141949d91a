package thistleturn.courier.handover;

import java.util.List;
import java.util.Map;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.LearnedState;

/**
 * What a process hands on beside the journal. Endpoints are known by numbers of its own; moments
 * are those of the monotonic clock.
 *
 * @param endpoints the list as it was last told
 * @param learnedState what the decisions have learnt
 * @param calls calls that are out, and stay with the older process until they end
 */
public record HandoverSnapshot(
    List<NumberedEndpoint> endpoints, LearnedState learnedState, List<InFlightRemoteCall> calls)
    implements LearnedStateSource {

  /** An endpoint's number, and how the list names it. */
  public record NumberedEndpoint(long number, EndpointDirectory.Entry entry) {}

  /** A call with the ids of its messages in order; {@code destination} is theirs. */
  public record InFlightRemoteCall(
      long number, long endpoint, long destination, long sentUs, List<String> messageIds) {}

  /** It was learnt up to this moment. */
  @Override
  public LearnedState learnedState(final Map<Long, Long> numbers, final Clock clock) {
    return LearnedStateSource.withEndpointNumbers(learnedState, numbers);
  }
}
