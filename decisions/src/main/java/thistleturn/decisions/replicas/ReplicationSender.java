package thistleturn.decisions.replicas;

/**
 * Sends messages and limits their bytes per second, with one allowance for messages sent as
 * datagrams and one for the batches that others request.
 */
final class ReplicationSender {
  private static final long SECOND_US = 1_000_000;

  private final ReplicationActions actions;
  private final ByteAllowance messageAllowance;
  private final ByteAllowance batchAllowance;
  private long refilledUs;
  private long sentBytes;

  ReplicationSender(
      final ReplicationSettings settings, final ReplicationActions actions, final long nowUs) {
    this.actions = actions;
    this.messageAllowance = new ByteAllowance(settings.messageBytesPerSecond());
    this.batchAllowance = new ByteAllowance(settings.batchBytesPerSecond());
    this.refilledUs = nowUs;
  }

  /** Refills the allowances for the elapsed time, at most one second. */
  void refill(final long nowUs) {
    final double seconds =
        Math.max(0, Math.min(SECOND_US, nowUs - refilledUs)) / (double) SECOND_US;
    refilledUs = nowUs;
    messageAllowance.refill(seconds);
    batchAllowance.refill(seconds);
  }

  /** Returns how many bytes of messages may be sent now; 0 or fewer: none. */
  double availableMessageBytes() {
    return messageAllowance.available();
  }

  /** Returns how many bytes of batches may be sent now; 0 or fewer: none. */
  double availableBatchBytes() {
    return batchAllowance.available();
  }

  /** Sends a message as a datagram. */
  void send(final String to, final ReplicationMessage message) {
    final int bytes = message.estimatedBytes();
    messageAllowance.spend(bytes);
    sentBytes += bytes;
    actions.send(to, message);
  }

  /** Sends a batch as a datagram if it fits into one, otherwise over a connection. */
  void sendBatch(final String to, final ReplicationMessage.DeltaBatch batch) {
    final int bytes = batch.estimatedBytes();
    batchAllowance.spend(bytes);
    if (bytes <= ReplicationProtocol.MAX_DATAGRAM_BYTES) {
      send(to, batch);
    } else {
      sentBytes += bytes;
      actions.sendOverConnection(to, batch);
    }
  }

  /** Returns about how many bytes were sent so far. */
  long sentBytes() {
    return sentBytes;
  }
}
