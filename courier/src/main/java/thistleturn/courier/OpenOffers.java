package thistleturn.courier;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import thistleturn.courier.handover.Successor;
import thistleturn.courier.journal.JournalHistory;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;

/**
 * The messages that clients of this process have handed in since a newer one decides, until each
 * client has its answer. The newer process may end first: then the journal tells which of them it
 * has taken on, and whoever decides next decides on the others. Each client is answered once,
 * whoever answers. Used on the event loop's thread.
 */
final class OpenOffers implements Successor {
  /** A client waits 400 ms for its answer: a message that nobody has seen is rejected by then. */
  private static final long MAX_UNSENT_WAIT_US = 350_000;

  /** After which time a client may submit again what nobody can decide on now. */
  private static final long RETRY_AFTER_US = 1_000_000;

  /** The newer process may have read none of so many withdrawals; of earlier ones it has. */
  private static final int MAX_REMEMBERED_WITHDRAWALS = 10_000;

  private enum State {
    /** The newer process gets each message. */
    FORWARDING,
    /** The newer process has ended, or its line has: messages wait for who decides next. */
    WAITING,
    /** All are settled, and this process decides again or ends. */
    SETTLED
  }

  private final Successor successor;
  private final Clock clock;
  private final Set<Offer> open = new LinkedHashSet<>();

  /** The destinations of withdrawn messages, by id, the latest last. */
  private final Map<String, Long> withdrawals = new LinkedHashMap<>();

  private State state = State.FORWARDING;

  OpenOffers(final Successor successor, final Clock clock) {
    this.successor = successor;
    this.clock = clock;
  }

  @Override
  public void submit(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply reply) {
    final Offer offer =
        new Offer(message, deadlineUs, reply, clock.nowUs(), state == State.FORWARDING);
    open.add(offer);
    switch (state) {
      case FORWARDING -> successor.submit(message, deadlineUs, offer);
      case WAITING -> {
        // It is decided, or rejected, once it is known who decides.
      }
      case SETTLED -> reject(offer);
    }
  }

  /** The client is owed nothing any more; its message is dropped if somebody has taken it on. */
  @Override
  public void withdraw(final String messageId, final long destination) {
    open.removeIf(offer -> offer.message.id().equals(messageId));
    withdrawals.put(messageId, destination);
    if (withdrawals.size() > MAX_REMEMBERED_WITHDRAWALS) {
      withdrawals.remove(withdrawals.keySet().iterator().next());
    }
    if (state == State.FORWARDING) {
      successor.withdraw(messageId, destination);
    }
  }

  @Override
  public void reportOutcome(
      final long call, final String messageId, final Dispatcher.DispatchOutcome outcome) {
    successor.reportOutcome(call, messageId, outcome);
  }

  /** The newer process gets nothing from now on. */
  void onLineEnded() {
    state = State.WAITING;
  }

  /** Returns the ids of the messages that the newer process may have taken on. */
  Set<String> offeredIds() {
    return open.stream()
        .filter(offer -> offer.sent)
        .map(offer -> offer.message.id())
        .collect(Collectors.toSet());
  }

  /** Rejects what waits too long for who decides next, if nobody can have taken it on. */
  void rejectOverdue() {
    final long nowUs = clock.nowUs();
    List.copyOf(open).stream()
        .filter(offer -> !offer.sent && nowUs - offer.submittedUs >= MAX_UNSENT_WAIT_US)
        .forEach(this::reject);
  }

  /**
   * This process decides again, and has recovered what the journal holds: clients whose messages
   * were taken on hear so, and all else is submitted anew, in the order of arrival.
   */
  void settleBy(final JournalHistory history, final IngressHandler deciding) {
    state = State.SETTLED;
    withdrawals.forEach(deciding::withdraw);
    settle(history, offer -> deciding.submit(offer.message, offer.deadlineUs, offer));
  }

  /** Nobody decides on what was not taken on, since this process ends: it is rejected. */
  void rejectRemaining(final JournalHistory history) {
    state = State.SETTLED;
    settle(history, this::reject);
  }

  private void settle(final JournalHistory history, final Consumer<Offer> undecided) {
    final List<Offer> offers = List.copyOf(open);
    if (!offers.isEmpty()) {
      Log.info("the newer process has left " + offers.size() + " requests without answers");
    }
    for (final Offer offer : offers) {
      switch (fateOf(offer, history)) {
        case TAKEN_ON -> offer.accepted();
        case NOT_TAKEN_ON -> undecided.accept(offer);
        case UNKNOWN -> offer.failed();
      }
    }
  }

  private static JournalHistory.Fate fateOf(final Offer offer, final JournalHistory history) {
    return offer.sent
        ? history.takeFate(offer.message.id(), offer.submittedUs)
        : JournalHistory.Fate.NOT_TAKEN_ON;
  }

  private void reject(final Offer offer) {
    Log.event(
        Event.REQUEST_REFUSED,
        "id",
        offer.message.id(),
        "class",
        offer.message.className(),
        "why",
        "nobody_decides");
    offer.rejected(Ingress.RejectionReason.NO_ROOM, RETRY_AFTER_US);
  }

  /** A message that was handed in, and where its answer goes; the first answer is the only one. */
  private final class Offer implements Ingress.Reply {
    private final StoredMessage message;
    private final long deadlineUs;
    private final Ingress.Reply client;
    private final long submittedUs;

    /** True if the newer process may have read it. */
    private final boolean sent;

    private Offer(
        final StoredMessage message,
        final long deadlineUs,
        final Ingress.Reply client,
        final long submittedUs,
        final boolean sent) {
      this.message = message;
      this.deadlineUs = deadlineUs;
      this.client = client;
      this.submittedUs = submittedUs;
      this.sent = sent;
    }

    private void answer(final Consumer<Ingress.Reply> answer) {
      if (open.remove(this)) {
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
