package thistleturn.courier;

import java.util.List;
import java.util.Set;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * Handles the events of a decision loop, depending on whether this process decides or a newer one
 * has taken over. All methods run on the loop's thread.
 */
interface LoopRole {
  /** Returns true while this process runs decision rounds. */
  boolean isDeciding();

  /** Returns true once a newer process decides. */
  boolean hasSuccessor();

  /** Returns the next role after a newer process has taken over. */
  LoopRole handedOverTo(ForwardingRole forwarding);

  /** A client submitted a message. */
  void submit(StoredMessage message, long deadlineUs, Ingress.Reply reply);

  /** A client disconnected before its message was answered. */
  void withdraw(Submission submission);

  /** The endpoint list changed, or is unavailable. */
  void onEndpointUpdate(EndpointUpdate update, EndpointTable.AppliedUpdate applied);

  /** A message's attempt ended; no byte of it is in transit on its connection any more. */
  void onOutcome(
      PendingDelivery delivery, Dispatcher.Call call, Dispatcher.DispatchOutcome outcome);

  /** The response to an unconfirmed delivery was its own. */
  void onAnswerConfirmed(PendingDelivery delivery);

  /**
   * The answer to an attempt, reported as an unconfirmed end, may belong to another call.
   *
   * @param mayBeEnd whether the attempt's own answer may state an end of attempts
   */
  void onAnswerInDoubt(PendingDelivery delivery, Dispatcher.Call call, boolean mayBeEnd);

  /** The response that rejected an attempt may belong to another call. */
  void onRejectionInDoubt(PendingDelivery delivery, Dispatcher.Call call);

  /**
   * The answer to an attempt states that no further call of its message may follow, before its
   * outcome is reported or after that.
   */
  void onEndStated(PendingDelivery delivery, Dispatcher.Call call);

  /** The attempt of an earlier process, whose outcome was not reported, counts as ended. */
  void onInterruptionEnded(PendingDelivery delivery);

  /** An endpoint sent a Retry-After in an answer to a call that had been abandoned. */
  void onRetryAfter(long endpoint, long retryAfterUs);

  /** The platform confirmed final outcomes. */
  void onConfirmed(List<StoredMessage> messages);

  /** This process did not run for a while. */
  void onProcessPaused(long pausedUs);

  /** This courier, which was cut off, is connected again. */
  void onConnectivityRestored(long nowUs, long cutOffSinceUs);

  /** Exactly these endpoints are administratively disabled from now on. */
  void setDisabledEndpoints(Set<String> names);

  /** This process was told to reload the configuration. */
  void onConfigurationReloaded();

  /** A subsystem issues a directive on a destination. */
  void applyDirective(long destination, Directive directive);

  /** The process ends at this time: no call is started that cannot end by then. */
  void prepareToStop(long stopUs);

  /** Returns the learned state, or null if there is nothing to store. */
  HandoverSnapshot learnedState();

  /** Returns how many pending messages this process is responsible for. */
  int ownedMessages();

  /** Returns true if the end of the process would interrupt nothing. */
  boolean isIdle();
}
