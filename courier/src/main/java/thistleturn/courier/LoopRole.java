package thistleturn.courier;

import java.util.List;
import java.util.Set;
import thistleturn.courier.handover.HandoverSnapshot;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.decisions.directives.Directive;
import thistleturn.decisions.model.EndpointUpdate;

/**
 * What the events of a decision loop lead to, which depends on who decides: this process, or a
 * newer one that has taken over. All methods run on the loop's thread.
 */
interface LoopRole {
  /** Returns true while this process runs decision rounds. */
  boolean isDeciding();

  /** Returns true once a newer process decides. */
  boolean hasSuccessor();

  /** Returns the role after a newer process has taken over. */
  LoopRole handedOverTo(ForwardingRole forwarding);

  /** A client handed a message in. */
  void submit(StoredMessage message, long deadlineUs, Ingress.Reply reply);

  /** A client went away before its message was answered. */
  void withdraw(String messageId, long destination);

  /** The endpoint list changed, or could not be had. */
  void onEndpointUpdate(EndpointUpdate update, EndpointTable.AppliedUpdate applied);

  /** A message's attempt ended; its connection carries nothing of it any more. */
  void onOutcome(
      PendingDelivery delivery, Dispatcher.Call call, Dispatcher.DispatchOutcome outcome);

  /** The attempt of an earlier process, of which no outcome was reported, counts as ended. */
  void onInterruptionEnded(PendingDelivery delivery);

  /** An endpoint asked for a wait in an answer to a call that was given up before. */
  void onRetryAfter(long endpoint, long retryAfterUs);

  /** The platform confirmed final outcomes. */
  void onConfirmed(List<StoredMessage> messages);

  /** This process did not run for a while. */
  void onProcessPaused(long pausedUs);

  /** This courier is connected again. */
  void onConnectivityRestored(long nowUs, long cutOffSinceUs);

  /** Exactly these endpoints are administratively disabled from now on. */
  void setDisabledEndpoints(Set<String> names);

  /** A subsystem issues a directive on a destination. */
  void applyDirective(long destination, Directive directive);

  /** The process ends at this time: nothing is started that cannot end by then. */
  void prepareToStop(long stopUs);

  /** Returns what has been learned so far, or null if there is nothing to be kept. */
  HandoverSnapshot learnedState();

  /** Returns how many messages this process has to bring to an end. */
  int ownedMessages();

  /** Returns true if nothing is under way that the end of the process would interrupt. */
  boolean isIdle();
}
