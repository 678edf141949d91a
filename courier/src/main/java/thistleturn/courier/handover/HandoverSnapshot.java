package thistleturn.courier.handover;

import java.util.List;
import java.util.Map;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.LearnedState;

/**
 * What a process hands over beside the journal. Endpoints have the numbers of that process, which
 * mean nothing to another one until they are mapped; timestamps are those of the machine's
 * monotonic clock.
 *
 * @param endpoints the endpoint list as last reported
 * @param learnedState what the controller has learned
 * @param calls calls in flight, which stay with the older process until they end
 */
public record HandoverSnapshot(
    List<NumberedEndpoint> endpoints, LearnedState learnedState, List<InFlightRemoteCall> calls)
    implements LearnedStateSource {

  /** An endpoint's number in the process that hands over, and how the list describes it. */
  public record NumberedEndpoint(long number, EndpointDirectory.Entry entry) {}

  /**
   * A call in flight.
   *
   * @param number how the older process knows the call
   * @param endpoint the number of the endpoint that it calls
   * @param destination the destination of its messages
   * @param sentUs when the call was prepared
   * @param messageIds its messages, in order
   */
  public record InFlightRemoteCall(
      long number, long endpoint, long destination, long sentUs, List<String> messageIds) {}

  /** {@inheritDoc} A process that is alive has learned it up to this moment, so nothing ages. */
  @Override
  public LearnedState learnedState(final Map<Long, Long> endpointNumbers, final Clock clock) {
    return LearnedStateSource.withEndpointNumbers(learnedState, endpointNumbers);
  }
}
