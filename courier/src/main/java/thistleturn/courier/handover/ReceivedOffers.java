package thistleturn.courier.handover;

import java.util.LinkedHashMap;
import java.util.Map;
import thistleturn.courier.port.Submission;

/**
 * The latest offers of the older process, by number, so that a withdrawal reaches the submission
 * that it names and no other message of the same id. Used on one event loop.
 */
final class ReceivedOffers {
  private static final int MAX_OFFERS = 10_000;

  private final Map<Long, Submission> byNumber = new LinkedHashMap<>();

  void add(final PredecessorLine.Offer offer) {
    byNumber.put(offer.offerNumber(), offer.message().submission());
    if (byNumber.size() > MAX_OFFERS) {
      byNumber.remove(byNumber.keySet().iterator().next());
    }
  }

  /**
   * Removes and returns what is withdrawn; null if it was withdrawn before, or never offered. The
   * last release names the message id only: its latest offer of that id is the unanswered one.
   */
  Submission remove(final PredecessorLine.Withdrawal withdrawal) {
    return byNumber.remove(
        withdrawal.namesOffer() ? withdrawal.offerNumber() : latestOfferOf(withdrawal.messageId()));
  }

  private long latestOfferOf(final String messageId) {
    long latest = PredecessorLine.Withdrawal.UNKNOWN_OFFER;
    for (final Map.Entry<Long, Submission> offer : byNumber.entrySet()) {
      if (offer.getValue().messageId().equals(messageId)) {
        latest = offer.getKey();
      }
    }
    return latest;
  }
}
