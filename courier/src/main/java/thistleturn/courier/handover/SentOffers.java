package thistleturn.courier.handover;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;

/**
 * What this process has offered to its successor, and what is still to be answered. A withdrawal
 * names its offer. A successor of the last release reads the message id only, so it is told of a
 * withdrawal once it has accepted that offer: before, the id may be that of another message. Used
 * on one event loop.
 */
final class SentOffers {
  /** Accepted offers are remembered, since their client may go before it is answered. */
  private static final int MAX_ACCEPTED = 10_000;

  /** An offer without a reply. */
  private static final class OpenOffer {
    private final Submission submission;
    private final Ingress.Reply client;
    private boolean withdrawn;

    private OpenOffer(final Submission submission, final Ingress.Reply client) {
      this.submission = submission;
      this.client = client;
    }
  }

  private final Map<Long, OpenOffer> open = new LinkedHashMap<>();
  private final Map<Submission, Long> openNumbers = new HashMap<>();
  private final Map<Submission, Long> accepted = new LinkedHashMap<>();
  private boolean successorReadsOfferNumbers;
  private long lastNumber;

  /** Sets whether the successor reads the number of a withdrawn offer. */
  void setSuccessorReadsOfferNumbers(final boolean readsOfferNumbers) {
    successorReadsOfferNumbers = readsOfferNumbers;
  }

  /** Returns the line that offers a message. */
  PredecessorLine.Offer add(
      final StoredMessage message, final long deadlineUs, final Ingress.Reply client) {
    lastNumber++;
    open.put(lastNumber, new OpenOffer(message.submission(), client));
    openNumbers.put(message.submission(), lastNumber);
    return new PredecessorLine.Offer(lastNumber, message, deadlineUs);
  }

  /** Returns the line that withdraws a submission now; empty if there is nothing to be sent yet. */
  Optional<PredecessorLine.Withdrawal> withdraw(final Submission submission) {
    final Long number = openNumbers.get(submission);
    if (number == null) {
      return Optional.ofNullable(accepted.remove(submission))
          .map(offer -> PredecessorLine.Withdrawal.of(offer, submission));
    }
    if (successorReadsOfferNumbers) {
      return Optional.of(PredecessorLine.Withdrawal.of(number, submission));
    }
    open.get(number).withdrawn = true;
    return Optional.empty();
  }

  /**
   * Passes a reply to the client, and returns the withdrawal that waited for it, if there is one.
   */
  Optional<PredecessorLine.Withdrawal> onReply(final SuccessorLine.OfferReply reply) {
    final OpenOffer offer = open.remove(reply.offerNumber());
    if (offer == null) {
      return Optional.empty();
    }
    openNumbers.remove(offer.submission, reply.offerNumber());
    final boolean isAccepted = reply instanceof SuccessorLine.Accepted;
    if (isAccepted && offer.withdrawn) {
      return Optional.of(PredecessorLine.Withdrawal.of(reply.offerNumber(), offer.submission));
    }
    if (isAccepted) {
      rememberAccepted(offer.submission, reply.offerNumber());
    }
    reply.sendTo(offer.client);
    return Optional.empty();
  }

  private void rememberAccepted(final Submission submission, final long number) {
    accepted.put(submission, number);
    if (accepted.size() > MAX_ACCEPTED) {
      accepted.remove(accepted.keySet().iterator().next());
    }
  }
}
