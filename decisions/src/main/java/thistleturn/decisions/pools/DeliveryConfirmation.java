package thistleturn.decisions.pools;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Confirms deliveries that are known only by the place of a response on its connection, or puts
 * them in doubt.
 *
 * <p>HTTP/1.1 matches a response with a request only by its place, so one response that comes twice
 * or late shifts all that follow. The first response on a connection belongs to its first call, and
 * a response that names its messages belongs to theirs. Any other delivery is unconfirmed until its
 * call's deadline: if the response was not its own, its own comes by then on a connection without a
 * call, or in place of a later one. Such bytes prove that the connection is out of step. All its
 * unconfirmed deliveries are then in doubt, and so are those of other connections that have ended,
 * on which nothing more can come.
 *
 * <p>A connection that was out of step is rarely the only one to its endpoint: for some time these
 * are not reused, and a delivery on one that ends is in doubt at once. Deliveries of other
 * endpoints whose connections have ended are in doubt if a connection proves to be out of step
 * before their time has come, since the cause may lie between this courier and all of them.
 *
 * @param <C> identifies a call
 * @param <N> identifies a connection
 */
public final class DeliveryConfirmation<C, N> {
  /** How long each call gets a connection of its own after one was out of step, us. */
  public static final long SUSPENSION_US = 60_000_000;

  private final List<Unconfirmed<C, N>> unconfirmed = new ArrayList<>();

  /** The connections with unconfirmed deliveries that have ended. */
  private final Set<N> ended = new HashSet<>();

  /** When a connection to an endpoint was last out of step. */
  private final Map<Long, Long> outOfStepUs = new HashMap<>();

  /** A delivery that is confirmed at a time unless its connection proves to be out of step. */
  private record Unconfirmed<C, N>(C call, N connection, long endpoint, long dueUs) {}

  /**
   * What becomes of deliveries whose time has come.
   *
   * @param confirmed the calls whose deliveries are confirmed
   * @param toEnd the connections that have to be ended, which puts their deliveries in doubt
   */
  public record Resolution<C, N>(List<C> confirmed, Set<N> toEnd) {}

  /** Creates an empty set of deliveries. */
  public DeliveryConfirmation() {}

  /**
   * Adds an unconfirmed delivery.
   *
   * @param callDeadlineUs when the call would have timed out
   */
  public void add(
      final C call, final N connection, final long endpoint, final long callDeadlineUs) {
    unconfirmed.add(new Unconfirmed<>(call, connection, endpoint, callDeadlineUs));
  }

  /** Returns whether there are no unconfirmed deliveries. */
  public boolean isEmpty() {
    return unconfirmed.isEmpty();
  }

  /** Returns whether a connection has unconfirmed deliveries. */
  public boolean isUnconfirmed(final N connection) {
    return unconfirmed.stream().anyMatch(delivery -> delivery.connection().equals(connection));
  }

  /** Returns whether each call to an endpoint needs a connection of its own. */
  public boolean isReuseSuspended(final long endpoint, final long nowUs) {
    final Long atUs = outOfStepUs.get(endpoint);
    return atUs != null && nowUs < atUs + SUSPENSION_US;
  }

  /**
   * A response on a connection named the messages of its call. Responses come in the order of their
   * calls, so all earlier ones were in step.
   *
   * @return the calls whose deliveries are confirmed
   */
  public List<C> onIdentifiedResponse(final N connection) {
    return take(delivery -> delivery.connection().equals(connection));
  }

  /**
   * Bytes came on a connection that do not belong to the call for which they were read.
   *
   * @return the calls whose deliveries are in doubt
   */
  public List<C> onOutOfStep(final N connection, final long endpoint, final long nowUs) {
    outOfStepUs.values().removeIf(atUs -> atUs + SUSPENSION_US <= nowUs);
    outOfStepUs.put(endpoint, nowUs);
    ended.add(connection);
    return take(delivery -> ended.contains(delivery.connection()));
  }

  /**
   * A connection has ended, so nothing more is learned about its deliveries.
   *
   * @return the calls whose deliveries are in doubt
   */
  public List<C> onConnectionEnded(final N connection, final long nowUs) {
    if (isUnconfirmed(connection)) {
      ended.add(connection);
    }
    return take(
        delivery ->
            ended.contains(delivery.connection()) && isReuseSuspended(delivery.endpoint(), nowUs));
  }

  /** Resolves the deliveries whose calls would have timed out by now. */
  public Resolution<C, N> resolveDue(final long nowUs) {
    return resolve(delivery -> delivery.dueUs() <= nowUs, nowUs);
  }

  /** Resolves all deliveries now, since this process will not learn more about them. */
  public Resolution<C, N> resolveAll(final long nowUs) {
    return resolve(delivery -> true, nowUs);
  }

  private Resolution<C, N> resolve(final Predicate<Unconfirmed<C, N>> due, final long nowUs) {
    final Set<N> toEnd = new HashSet<>();
    for (final Unconfirmed<C, N> delivery : unconfirmed) {
      if (due.test(delivery) && isReuseSuspended(delivery.endpoint(), nowUs)) {
        toEnd.add(delivery.connection());
      }
    }
    final List<C> confirmed =
        take(delivery -> due.test(delivery) && !isReuseSuspended(delivery.endpoint(), nowUs));
    return new Resolution<>(confirmed, toEnd);
  }

  private List<C> take(final Predicate<Unconfirmed<C, N>> selected) {
    final List<C> calls = new ArrayList<>();
    final Iterator<Unconfirmed<C, N>> deliveries = unconfirmed.iterator();
    while (deliveries.hasNext()) {
      final Unconfirmed<C, N> delivery = deliveries.next();
      if (selected.test(delivery)) {
        deliveries.remove();
        calls.add(delivery.call());
      }
    }
    if (!calls.isEmpty()) {
      ended.removeIf(connection -> !isUnconfirmed(connection));
    }
    return calls;
  }
}
