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
 * @param memory what the decisions have learnt
 * @param calls calls that are out, and stay with the older process until they end
 */
public record Inheritance(List<Named> endpoints, LearnedState memory, List<CallOut> calls)
    implements Continuity {

  /** An endpoint's number, and how the list names it. */
  public record Named(long number, EndpointDirectory.Entry listing) {}

  /** A call with the ids of its messages in order; {@code destination} is theirs. */
  public record CallOut(
      long number, long endpoint, long destination, long sentUs, List<String> messageIds) {}

  /** It was learnt up to this moment. */
  @Override
  public LearnedState memory(final Map<Long, Long> numbers, final Clock clock) {
    return Continuity.renumbered(memory, numbers);
  }
}
