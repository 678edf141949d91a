package thistleturn.lab.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.DeliveryActions;
import thistleturn.decisions.DeliveryController;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.PriorAttempts;

/**
 * Baseline sender: a concurrency window for each destination, fixed or adapted by additive increase
 * and multiplicative decrease (the rule of RFC 5681, applied to calls), round-robin over endpoints,
 * first come, first served, and immediate retries. It respects idempotence, the attempt limit and
 * Retry-After, as every sender must here.
 */
public final class SimpleSender implements DeliveryController {
  private static final long END_MARGIN_US = 12_000;
  private static final long TIMEOUT_US = 1_000_000;
  private static final double MIN_WINDOW = 1;

  private final DeliverySettings settings;
  private final DeliveryActions actions;
  private final boolean adaptive;
  private final double startWindow;
  private final Map<Long, Route> routes = new LinkedHashMap<>();
  private final Map<String, Item> items = new HashMap<>();
  private int out;

  private static final class Route {
    private final List<Long> endpoints = new ArrayList<>();
    private final ArrayDeque<Item> waiting = new ArrayDeque<>();
    private double window;
    private long waitUntilUs;
    private long cutUs;
    private int out;
    private int next;
  }

  private static final class Item {
    private final Message message;
    private final MessageClass kind;
    private int attempts;
    private long firstRunUs = Long.MAX_VALUE;
    private long sentUs;

    Item(final Message message, final MessageClass kind) {
      this.message = message;
      this.kind = kind;
    }
  }

  private SimpleSender(
      final DeliverySettings settings,
      final DeliveryActions actions,
      final boolean adaptive,
      final double window) {
    this.settings = settings;
    this.actions = actions;
    this.adaptive = adaptive;
    this.startWindow = window;
  }

  /** A window with additive increase and multiplicative decrease. */
  public static DeliveryController aimd(
      final DeliverySettings settings, final DeliveryActions actions) {
    return new SimpleSender(settings, actions, true, 2);
  }

  /** A fixed window of three quarters of the concurrency limit for each destination. */
  public static DeliveryController fixedWindow(
      final DeliverySettings settings, final DeliveryActions actions) {
    return new SimpleSender(settings, actions, false, 0.75 * settings.limits().concurrencyLimit());
  }

  private Route route(final long destination) {
    return routes.computeIfAbsent(
        destination,
        id -> {
          final Route route = new Route();
          route.window = startWindow;
          return route;
        });
  }

  @Override
  public void onEndpointList(
      final long nowUs, final EndpointUpdate update, final List<Endpoint> entries) {
    entries.forEach(entry -> route(entry.destinationId()).endpoints.add(entry.id()));
  }

  @Override
  public void onMessage(final long nowUs, final Message message) {
    final Item item = new Item(message, settings.classes().get(message.classIndex()));
    items.put(message.id(), item);
    route(message.destinationId()).waiting.add(item);
    actions.scheduleDecision(message.validUntilUs() - END_MARGIN_US - nowUs);
  }

  @Override
  public void onMessageResumed(final long nowUs, final Message message, final PriorAttempts past) {
    throw new UnsupportedOperationException("a simple sender does not resume messages");
  }

  @Override
  public void onStopping(final long nowUs, final long stopUs) {}

  @Override
  public void onCapacityChanged(final long nowUs, final int slots, final int maxOpen) {}

  @Override
  public void onMessageAbandoned(final long nowUs, final String messageId) {}

  @Override
  public void onOutcome(final long nowUs, final AttemptOutcome outcome) {
    final Item item = items.get(outcome.messageId());
    final Route route = route(item.message.destinationId());
    out--;
    route.out--;
    route.waitUntilUs = Math.max(route.waitUntilUs, nowUs + outcome.retryAfterUs());
    if (outcome.result() == AttemptResult.DELIVERED) {
      route.window += adaptive ? 1 / route.window : 0;
      items.remove(outcome.messageId());
      return;
    }
    if (!outcome.result().neverExecuted()) {
      item.firstRunUs = Math.min(item.firstRunUs, item.sentUs);
    }
    if (adaptive && item.sentUs >= route.cutUs) {
      route.window = Math.max(MIN_WINDOW, route.window / 2);
      route.cutUs = nowUs;
    }
    route.waiting.addFirst(item);
  }

  @Override
  public void decide(final long nowUs) {
    for (final Route route : routes.values()) {
      route.waiting.removeIf(item -> isOver(item, nowUs));
      while (!route.waiting.isEmpty()
          && nowUs >= route.waitUntilUs
          && route.out < (int) route.window
          && out < settings.limits().concurrencyLimit()) {
        final Item item = route.waiting.poll();
        item.attempts++;
        item.sentUs = nowUs;
        out++;
        route.out++;
        final long leftUs = item.message.validUntilUs() - nowUs;
        actions.send(
            item.message.id(),
            route.endpoints.get(route.next++ % route.endpoints.size()),
            item.kind.idempotence() == Idempotence.NON_IDEMPOTENT
                ? leftUs
                : Math.min(leftUs, TIMEOUT_US));
      }
      if (!route.waiting.isEmpty() && nowUs < route.waitUntilUs) {
        actions.scheduleDecision(route.waitUntilUs - nowUs);
      }
    }
  }

  private boolean isOver(final Item item, final long nowUs) {
    final boolean ran = item.firstRunUs != Long.MAX_VALUE;
    final boolean may =
        item.attempts < settings.limits().maxAttempts()
            && nowUs < item.message.validUntilUs() - END_MARGIN_US
            && (!ran
                || item.kind.idempotence() == Idempotence.IDEMPOTENT
                || (item.kind.idempotence() == Idempotence.IDEMPOTENT_BY_KEY
                    && nowUs < item.firstRunUs + 0.95 * item.kind.idempotencyWindowUs()));
    if (may) {
      return false;
    }
    items.remove(item.message.id());
    if (ran && item.kind.idempotence() != Idempotence.IDEMPOTENT) {
      actions.fail(item.message.id());
    } else {
      actions.shed(item.message.id(), 0);
    }
    return true;
  }
}
