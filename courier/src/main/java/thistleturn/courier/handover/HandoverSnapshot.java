package thistleturn.courier.handover;

import java.util.List;
import java.util.Map;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.Clock;
import thistleturn.decisions.LearnedState;

/**
 * The state that a process hands over besides the journal. Endpoints have the numbers of that
 * process, which another one must map to its own; timestamps are those of the machine's monotonic
 * clock.
 *
 * @param endpoints the endpoint list as last reported
 * @param learnedState what the controller has learned
 * @param calls calls in flight, which stay with the older process until they end
 */
public record HandoverSnapshot(
    List<NumberedEndpoint> endpoints, LearnedState learnedState, List<InFlightRemoteCall> calls)
    implements LearnedStateSource {

  /** An endpoint's number in the process that hands over, and its entry in the endpoint list. */
  public record NumberedEndpoint(long number, EndpointDirectory.Entry entry) {}

  /**
   * A call in flight.
   *
   * @param number identifies the call in the older process
   * @param endpoint the number of the endpoint that it calls
   * @param destination the destination of its messages
   * @param sentUs when the call was prepared
   * @param messageIds its messages, in order
   */
  public record InFlightRemoteCall(
      long number, long endpoint, long destination, long sentUs, List<String> messageIds) {}

  /** {@inheritDoc} A running process has learned it up to this moment, so nothing has aged. */
  @Override
  public LearnedState learnedState(final Map<Long, Long> endpointNumbers, final Clock clock) {
    return LearnedStateSource.withEndpointNumbers(learnedState, endpointNumbers);
  }
}
