package thistleturn.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import thistleturn.decisions.index.Ranking;
import thistleturn.decisions.index.TimeHeap;

/**
 * What the rooms of the decisions share: the settings, the moment, who is known, and what has
 * changed since the last pass. It decides nothing.
 */
final class State {
  final Courier.Settings settings;
  final Courier.Actions actions;

  /** The courier's only source of chance: all draw from it, in the order of the events. */
  final Random random;

  final Pace pace;
  final ServiceTimes times;

  /**
   * Whether refusals, failures and first seconds are read; even parts are kept to; thin ones are
   * deep.
   */
  final boolean learns, shares, thin;

  final Map<Long, Destination> destinations = new HashMap<>();
  final Map<Long, Node> nodes = new HashMap<>();

  /** Destinations of which something has changed since the last pass. */
  final List<Destination> touched = new ArrayList<>();

  /** When lanes are to be looked at again. */
  final TimeHeap<LaneTimer> looks = new TimeHeap<>();

  /** Lanes on which a step is more than the passing of time. */
  List<Lane> active = new ArrayList<>();

  /** What this courier may use now, and what it uses. */
  int slots, maxOpen, callsOut, open;

  long nowUs, stopUs = Control.NEVER;

  /** Steps taken; events and passes so far; lanes gone out or returning. */
  long steps, tick, turns;

  /** When a pass is wanted that no event and no heap would bring. */
  long againUs = Control.NEVER;

  /**
   * Lanes by the urgency of what may go: as it is, and for each call's time where the store is
   * crowded.
   */
  private List<Ranking<Ready>> ready;

  /** Destinations by the message in their line that is worth least: the first to make room. */
  private Ranking<Destination> room;

  State(
      final Courier.Settings settings,
      final long seed,
      final Courier.Actions actions,
      final boolean learns,
      final boolean shares,
      final boolean thin) {
    this.settings = settings;
    this.actions = actions;
    this.random = new Random(seed);
    this.pace = new Pace(settings, random);
    this.times = new ServiceTimes(settings.classes());
    this.learns = learns;
    this.shares = shares;
    this.thin = thin;
    this.slots = settings.limits().slots();
    this.maxOpen = settings.limits().maxOpen();
  }

  /** Says by what lanes and destinations are ranked; once, before anything is told. */
  void rank(
      final ToDoubleFunction<Ready> urgency,
      final ToDoubleFunction<Destination> leastWorth,
      final long lookUs) {
    ready =
        List.of(
            new Ranking<>(urgency, Ready.ORDER, lookUs),
            new Ranking<>(urgency, Ready.ORDER, lookUs));
    room = new Ranking<>(leastWorth, Destination.ORDER, lookUs);
  }

  /**
   * Lanes by what their messages lose; with the store over half full some messages will not be
   * served.
   */
  Ranking<Ready> ready() {
    return ready.get(2 * open > maxOpen ? 1 : 0);
  }

  /** Destinations by what is refused first. */
  Ranking<Destination> room() {
    return room;
  }

  Destination destination(final long id) {
    return destinations.computeIfAbsent(id, Destination::new);
  }

  /**
   * Something about a destination has changed, or time has brought it something: it is looked at
   * again.
   */
  void touch(final Destination destination) {
    if (!destination.touched) {
      destination.touched = true;
      touched.add(destination);
    }
    lookAgain(destination);
    for (final Lane lane : destination.lanes) {
      lane.catchUp(steps);
      if (!lane.active) {
        lane.active = true;
        active.add(lane);
      }
    }
  }

  /** Its lanes and its line are ranked anew before the next choice. */
  void lookAgain(final Destination destination) {
    room.invalidate(destination);
    for (final Lane lane : destination.lanes) {
      for (final Ready entry : lane.ready) {
        ready.get(entry.mode).invalidate(entry);
      }
    }
  }

  /** All lanes are ranked anew before the next choice. */
  void lookAtAll() {
    ready.forEach(Ranking::invalidateAll);
  }
}
