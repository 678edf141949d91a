package thistleturn.courier;

import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.IngressHandler;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.port.Submission;
import thistleturn.decisions.model.MessageClass;

/**
 * Passes requests to the current decision loop of the only shard; the decision loop may be replaced
 * while the ingress stays.
 */
record LocalIngressHandler(Shard shard) implements IngressHandler {
  @Override
  public MessageClass messageClass(final String className) {
    return shard.decisionLoop().messageClass(className);
  }

  @Override
  public boolean isAnsweredOnThisLoop(final long destination) {
    return shard.decisionLoop().isAnsweredOnThisLoop(destination);
  }

  @Override
  public void submit(
      final StoredMessage message, final long validUntilUs, final Ingress.Reply reply) {
    shard.decisionLoop().submit(message, validUntilUs, reply);
  }

  @Override
  public void withdraw(final Submission submission) {
    shard.decisionLoop().withdraw(submission);
  }
}
