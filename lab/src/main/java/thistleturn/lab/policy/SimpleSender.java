package thistleturn.lab.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.Courier;

/**
 * What a plain sender does, to be compared with: a window for each destination, fixed or moved by
 * additive increase and multiplicative decrease (RFC 5681's rule, on calls), endpoints in turn,
 * first come first served, and a further attempt at once. It keeps the rules on effects, attempts
 * and waits, as any sender must here.
 */
public final class SimpleSender implements Courier {
  private static final long END_MARGIN_US = 12_000;
  private static final long TIMEOUT_US = 1_000_000;
  private static final double LEAST = 1;

  private final Settings settings;
  private final Actions actions;
  private final boolean moves;
  private final double startWindow;
  private final Map<Long, Lane> lanes = new LinkedHashMap<>();
  private final Map<String, Item> items = new HashMap<>();
  private int out;

  private static final class Lane {
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
      final Settings settings, final Actions actions, final boolean moves, final double window) {
    this.settings = settings;
    this.actions = actions;
    this.moves = moves;
    this.startWindow = window;
  }

  /** Additive increase, multiplicative decrease. */
  public static Courier aimd(final Settings settings, final Actions actions) {
    return new SimpleSender(settings, actions, true, 2);
  }

  /** Three quarters of the slots at most for a destination, always. */
  public static Courier fixedWindow(final Settings settings, final Actions actions) {
    return new SimpleSender(settings, actions, false, 0.75 * settings.limits().slots());
  }

  private Lane lane(final long destination) {
    return lanes.computeIfAbsent(
        destination,
        id -> {
          final Lane lane = new Lane();
          lane.window = startWindow;
          return lane;
        });
  }

  @Override
  public void onList(final long nowUs, final Update update, final List<Endpoint> entries) {
    entries.forEach(entry -> lane(entry.destination()).endpoints.add(entry.id()));
  }

  @Override
  public void onMessage(final long nowUs, final Message message) {
    final Item item = new Item(message, settings.classes().get(message.messageClass()));
    items.put(message.id(), item);
    lane(message.destination()).waiting.add(item);
    actions.wake(message.validUntilUs() - END_MARGIN_US - nowUs);
  }

  @Override
  public void onResumed(final long nowUs, final Message message, final Past past) {
    throw new UnsupportedOperationException("a plain sender remembers nothing");
  }

  @Override
  public void onStopping(final long nowUs, final long stopUs) {}

  @Override
  public void onRoom(final long nowUs, final int slots, final int maxOpen) {}

  @Override
  public void onExpired(final long nowUs, final String messageId) {}

  @Override
  public void onOutcome(final long nowUs, final Outcome outcome) {
    final Item item = items.get(outcome.messageId());
    final Lane lane = lane(item.message.destination());
    out--;
    lane.out--;
    lane.waitUntilUs = Math.max(lane.waitUntilUs, nowUs + outcome.waitUs());
    if (outcome.result() == Result.DELIVERED) {
      lane.window += moves ? 1 / lane.window : 0;
      items.remove(outcome.messageId());
      return;
    }
    if (!outcome.result().neverRan()) {
      item.firstRunUs = Math.min(item.firstRunUs, item.sentUs);
    }
    if (moves && item.sentUs >= lane.cutUs) {
      lane.window = Math.max(LEAST, lane.window / 2);
      lane.cutUs = nowUs;
    }
    lane.waiting.addFirst(item);
  }

  @Override
  public void decide(final long nowUs) {
    for (final Lane lane : lanes.values()) {
      lane.waiting.removeIf(item -> isOver(item, nowUs));
      while (!lane.waiting.isEmpty()
          && nowUs >= lane.waitUntilUs
          && lane.out < (int) lane.window
          && out < settings.limits().slots()) {
        final Item item = lane.waiting.poll();
        item.attempts++;
        item.sentUs = nowUs;
        out++;
        lane.out++;
        final long leftUs = item.message.validUntilUs() - nowUs;
        actions.send(
            item.message.id(),
            lane.endpoints.get(lane.next++ % lane.endpoints.size()),
            item.kind.effect() == Effect.UNSAFE ? leftUs : Math.min(leftUs, TIMEOUT_US));
      }
      if (!lane.waiting.isEmpty() && nowUs < lane.waitUntilUs) {
        actions.wake(lane.waitUntilUs - nowUs);
      }
    }
  }

  private boolean isOver(final Item item, final long nowUs) {
    final boolean ran = item.firstRunUs != Long.MAX_VALUE;
    final boolean may =
        item.attempts < settings.limits().mostAttempts()
            && nowUs < item.message.validUntilUs() - END_MARGIN_US
            && (!ran
                || item.kind.effect() == Effect.SAFE
                || (item.kind.effect() == Effect.KEYED
                    && nowUs < item.firstRunUs + 0.95 * item.kind.keyWindowUs()));
    if (may) {
      return false;
    }
    items.remove(item.message.id());
    if (ran && item.kind.effect() != Effect.SAFE) {
      actions.fail(item.message.id());
    } else {
      actions.refuse(item.message.id(), 0);
    }
    return true;
  }
}
