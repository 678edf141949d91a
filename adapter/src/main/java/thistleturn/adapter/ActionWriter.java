package thistleturn.adapter;

import thistleturn.decisions.DeliveryActions;

/** Appends the actions of one instance to the reply, one line per action. */
final class ActionWriter implements DeliveryActions {
  private final int instance;
  private final StringBuilder reply;

  ActionWriter(final int instance, final StringBuilder reply) {
    this.instance = instance;
    this.reply = reply;
  }

  /** Begins the line of an action; the caller appends its other fields and the line end. */
  private StringBuilder begin(final String action) {
    return reply.append(action).append("\ti=").append(instance);
  }

  @Override
  public void send(final String messageId, final long endpoint, final long timeoutUs) {
    begin("pass_on")
        .append("\tref=")
        .append(messageId)
        .append("\tpatience=")
        .append(timeoutUs)
        .append("\tendpoint=")
        .append(endpoint)
        .append('\n');
  }

  @Override
  public void shed(final String messageId, final long retryAfterUs) {
    begin("decline").append("\tref=").append(messageId);
    if (retryAfterUs > 0) {
      reply.append("\tretry_after=").append(retryAfterUs);
    }
    reply.append('\n');
  }

  @Override
  public void fail(final String messageId) {
    begin("drop_request").append("\tref=").append(messageId).append('\n');
  }

  @Override
  public void cancel(final String messageId, final int attempt) {
    begin("stop_attempt")
        .append("\tref=")
        .append(messageId)
        .append("\tleg=")
        .append(attempt)
        .append('\n');
  }

  @Override
  public void closeIdleConnections(final long endpoint) {
    begin("free_links").append("\tendpoint=").append(endpoint).append('\n');
  }

  @Override
  public void subscribeToEndpointList() {
    begin("follow").append("\ton=1\n");
  }

  @Override
  public void scheduleDecision(final long delayUs) {
    begin("remind").append("\tdelay=").append(delayUs).append("\ttoken=0\n");
  }

  /** Reports a failure of the decisions, after which the simulator considers the instance ended. */
  void reportFailure(final RuntimeException failure) {
    final StackTraceElement[] trace = failure.getStackTrace();
    final String where = trace.length > 0 ? " at " + trace[0] : "";
    final String onOneLine = (failure + where).replaceAll("\\s+", " ");
    begin("die").append("\twhat=").append(onOneLine).append('\n');
  }
}
