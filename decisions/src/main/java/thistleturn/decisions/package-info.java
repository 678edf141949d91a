/**
 * Decides for one courier which message is sent when and to which endpoint, and which messages are
 * shed.
 *
 * <p>Entry point: {@link thistleturn.decisions.OverloadController}, an implementation of {@link
 * thistleturn.decisions.DeliveryController}. The host reports events in the order in which they
 * happened, then calls {@code decide} once and carries out the {@link
 * thistleturn.decisions.DeliveryActions} that it was asked for meanwhile.
 *
 * <p>Owner: one decision loop; nothing here is thread-safe. Nothing here depends on sockets, files,
 * threads, clocks or logging: time, events and the seed of all randomness come in as arguments, so
 * that the same events always give the same actions.
 *
 * <p>State has one owner each: a {@link thistleturn.decisions.Route} owns its circuit breaker,
 * window, pacing and averages; {@link thistleturn.decisions.PendingMessages} owns the messages;
 * {@link thistleturn.decisions.ControllerState} holds only what all parts share.
 */
package thistleturn.decisions;
