package thistleturn.courier;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thistleturn.courier.port.MessageStore;
import thistleturn.courier.port.StoredMessage;

/** A message store that keeps everything in memory, so that nothing survives the process. */
final class InMemoryMessageStore implements MessageStore {
  private final Map<String, StoredMessage> pendingMessages = new LinkedHashMap<>();

  @Override
  public Collection<StoredMessage> pendingMessages() {
    return List.copyOf(pendingMessages.values());
  }

  @Override
  public boolean contains(final String id) {
    return pendingMessages.containsKey(id);
  }

  @Override
  public boolean recordAccepted(final StoredMessage message) {
    pendingMessages.put(message.id(), message);
    return true;
  }

  @Override
  public boolean recordReopened(final StoredMessage message) {
    return recordAccepted(message);
  }

  @Override
  public void recordAttemptStarted(
      final StoredMessage message, final long nowUs, final String zone) {
    message.startAttempt(nowUs, zone);
  }

  @Override
  public void recordAttemptOutcome(final StoredMessage message, final boolean neverRan) {
    message.endAttempt(neverRan);
  }

  @Override
  public void recordPossibleExecution(
      final StoredMessage message, final long startedUs, final String zone) {
    message.recordPossibleExecution(startedUs, zone);
  }

  @Override
  public void recordFinalOutcome(
      final StoredMessage message, final StoredMessage.FinalOutcome outcome) {
    pendingMessages.remove(message.id());
  }

  @Override
  public void recordStatedOutcome(
      final StoredMessage message, final StoredMessage.FinalOutcome outcome) {
    message.noteStatedOutcome(outcome);
  }

  @Override
  public void recordCompleted(final StoredMessage message) {
    pendingMessages.remove(message.id());
  }

  @Override
  public FlushResult flush() {
    return FlushResult.DURABLE;
  }

  @Override
  public boolean isWritable() {
    return true;
  }
}
