package thistleturn.courier;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.journal.JournalHistory;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * The messages that clients of this process have submitted since a newer process took over the
 * decisions, until each client is answered. If the newer process ends first, the journal shows
 * which of them it had accepted, and the process that decides next decides on the others. Each
 * client is answered exactly once. Used on the event loop's thread.
 */
final class UnansweredSubmissions implements Successor {
  /**
   * A client waits 400 ms for its answer: a message that was not forwarded is rejected before that.
   */
  private static final long MAX_UNSENT_WAIT_US = 350_000;

  /** The delay after which a client may resubmit a message that no process can decide on now. */
  private static final long RETRY_AFTER_US = 1_000_000;

  /**
   * The number of latest withdrawals that the newer process may not have read; it read older ones.
   */
  private static final int MAX_REMEMBERED_WITHDRAWALS = 10_000;

  private enum State {
    /** Each message is forwarded to the newer process. */
    FORWARDING,
    /**
     * The newer process or the connection to it has ended: messages wait until it is known which
     * process decides next.
     */
    WAITING,
    /** Each message has been decided on, and this process decides again or ends. */
    SETTLED
  }

  private final Successor successor;
  private final Clock clock;
  private final Set<UnansweredRequest> unanswered = new LinkedHashSet<>();

  /** What was withdrawn, the latest last. */
  private final Set<Submission> withdrawals = new LinkedHashSet<>();

  private State state = State.FORWARDING;

  UnansweredSubmissions(final Successor successor, final Clock clock) {
    this.successor = successor;
    this.clock = clock;
  }

  @Override
  public void submit(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    final UnansweredRequest request =
        new UnansweredRequest(message, deadlineUs, reply, clock.nowUs(), state == State.FORWARDING);
    unanswered.add(request);
    switch (state) {
      case FORWARDING -> successor.submit(message, deadlineUs, request);
      case WAITING -> {
        // It is submitted or rejected once it is known which process decides.
      }
      case SETTLED -> reject(request);
    }
  }

  /**
   * Forgets the client, which expects no answer any more; what it submitted is withdrawn from the
   * deciding process. Other clients that have submitted the same id keep theirs.
   */
  @Override
  public void withdraw(final Submission submission) {
    unanswered.removeIf(request -> request.message.submission() == submission);
    withdrawals.add(submission);
    if (withdrawals.size() > MAX_REMEMBERED_WITHDRAWALS) {
      withdrawals.remove(withdrawals.iterator().next());
    }
    if (state == State.FORWARDING) {
      successor.withdraw(submission);
    }
  }

  /** A process that decides again instead reads the configuration then. */
  @Override
  public void reloadConfiguration() {
    if (state == State.FORWARDING) {
      successor.reloadConfiguration();
    }
  }

  @Override
  public void reportOutcome(
      final long call, final String messageId, final Dispatcher.DispatchOutcome outcome) {
    successor.reportOutcome(call, messageId, outcome);
  }

  /** Stops forwarding: the connection to the newer process has ended. */
  void onSuccessorDisconnected() {
    state = State.WAITING;
  }

  /** Returns the ids of the messages that the newer process may have accepted. */
  Set<String> forwardedIds() {
    return unanswered.stream()
        .filter(request -> request.forwarded)
        .map(request -> request.message.id())
        .collect(Collectors.toSet());
  }

  /**
   * Rejects messages that have waited too long for a deciding process and cannot have been
   * accepted.
   */
  void rejectOverdue() {
    final long nowUs = clock.nowUs();
    List.copyOf(unanswered).stream()
        .filter(request -> !request.forwarded && nowUs - request.submittedUs >= MAX_UNSENT_WAIT_US)
        .forEach(this::reject);
  }

  /**
   * Settles all messages after this process has recovered the journal and decides again: clients
   * whose messages were accepted are notified, and the other messages are resubmitted in the order
   * of arrival.
   */
  void settleBy(final JournalHistory history, final IngressHandler deciding) {
    state = State.SETTLED;
    withdrawals.forEach(deciding::withdraw);
    settle(history, request -> deciding.submit(request.message, request.deadlineUs, request));
  }

  /** Settles all messages when this process ends: those that were not accepted are rejected. */
  void rejectRemaining(final JournalHistory history) {
    state = State.SETTLED;
    settle(history, this::reject);
  }

  private void settle(final JournalHistory history, final Consumer<UnansweredRequest> undecided) {
    final List<UnansweredRequest> requests = List.copyOf(unanswered);
    if (!requests.isEmpty()) {
      Log.info("the newer process ended with " + requests.size() + " requests unanswered");
    }
    for (final UnansweredRequest request : requests) {
      switch (acceptanceOf(request, history)) {
        case ACCEPTED -> request.accepted();
        case NOT_ACCEPTED -> undecided.accept(request);
        case UNKNOWN -> request.failed();
      }
    }
  }

  private static JournalHistory.Acceptance acceptanceOf(
      final UnansweredRequest request, final JournalHistory history) {
    return request.forwarded
        ? history.takeAcceptance(request.message.id(), request.submittedUs)
        : JournalHistory.Acceptance.NOT_ACCEPTED;
  }

  private void reject(final UnansweredRequest request) {
    Log.event(
        Event.REQUEST_REFUSED,
        "id",
        request.message.id(),
        "class",
        request.message.className(),
        "why",
        "nobody_decides");
    request.rejected(Ingress.RejectionReason.NO_ROOM, RETRY_AFTER_US);
  }

  /** A submitted message and the reply to its client; only the first answer is passed on. */
  private final class UnansweredRequest implements Ingress.Reply {
    private final StoredMessage message;
    private final long deadlineUs;
    private final Ingress.Reply client;
    private final long submittedUs;

    /** True if the newer process may have read it. */
    private final boolean forwarded;

    private UnansweredRequest(
        final StoredMessage message,
        final long deadlineUs,
        final Ingress.Reply client,
        final long submittedUs,
        final boolean forwarded) {
      this.message = message;
      this.deadlineUs = deadlineUs;
      this.client = client;
      this.submittedUs = submittedUs;
      this.forwarded = forwarded;
    }

    private void answer(final Consumer<Ingress.Reply> answer) {
      if (unanswered.remove(this)) {
        answer.accept(client);
      }
    }

    @Override
    public void accepted() {
      answer(Ingress.Reply::accepted);
    }

    @Override
    public void rejected(final Ingress.RejectionReason reason, final long retryAfterUs) {
      answer(reply -> reply.rejected(reason, retryAfterUs));
    }

    @Override
    public void failed() {
      answer(Ingress.Reply::failed);
    }

    @Override
    public void invalid(final Ingress.InvalidReason reason) {
      answer(reply -> reply.invalid(reason));
    }
  }
}
