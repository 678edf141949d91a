package thistleturn.decisions;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import thistleturn.decisions.Courier.Condition;
import thistleturn.decisions.Courier.Endpoint;
import thistleturn.decisions.Courier.Kind;
import thistleturn.decisions.Courier.Update;
import thistleturn.decisions.Courier.Weights;

/**
 * The list: which endpoints there are, when it must be asked for, and what is forgotten of those
 * that left.
 */
final class Listing {
  /**
   * First and longest back-off of asking for the list again, us: soon, but without burdening it.
   */
  private static final long ASK_LEAST_US = Control.SECOND_US / 2;

  private static final long ASK_MOST_US = 3 * Control.SECOND_US;

  /**
   * A destination or route without an endpoint is forgotten so long after its last use, us. A
   * default.
   */
  private static final long FORGET_US = 60 * Control.SECOND_US;

  private final State state;

  /** Endpoints that are gone, and destinations without messages or endpoints: to be forgotten. */
  private final Set<Node> gone = new LinkedHashSet<>();

  private final Set<Destination> vacant = new LinkedHashSet<>();
  private boolean subscribed;
  private long askAgainUs = Control.NEVER, askBackOffUs = ASK_LEAST_US;

  Listing(final State state) {
    this.state = state;
  }

  /** When it must be asked for again; never, while it is followed. */
  long askAgainUs() {
    return askAgainUs;
  }

  /** A destination holds no message any more. */
  void empty(final Destination destination) {
    vacant.add(destination);
  }

  /** The list has changed, or could not be had. */
  void told(final Update update, final List<Endpoint> entries) {
    if (update == Update.LOST) {
      subscribed = false;
      askAgainUs = state.nowUs + state.pace.jitter(askBackOffUs);
      askBackOffUs = Math.min(2 * askBackOffUs, ASK_MOST_US);
      return;
    }
    if (update != Update.ASIDE) {
      askAgainUs = Control.NEVER;
      askBackOffUs = ASK_LEAST_US;
    }
    if (update == Update.WHOLE || update == Update.RESTORED) {
      state
          .nodes
          .values()
          .forEach(
              node -> {
                node.condition = Condition.GONE;
                gone.add(node);
                state.touch(node.lane.destination);
              });
    }
    for (final Endpoint entry : entries) {
      Node node = state.nodes.get(entry.id());
      if (node == null) {
        node = new Node(entry, lane(entry), state.settings.classes().size());
        node.lane.nodes.add(node);
        // A new endpoint has no part in an outage of those before it: it may be tried at once.
        node.lane.nextTrialUs = Math.min(node.lane.nextTrialUs, state.nowUs);
        state.nodes.put(entry.id(), node);
      }
      node.condition = entry.condition();
      if (node.condition == Condition.GONE) {
        gone.add(node);
      } else {
        gone.remove(node);
      }
      state.touch(node.lane.destination);
      if (state.settings.weights() != Weights.NONE) {
        node.lane.tell(entry.weight(), Lane.LIST, state.nowUs);
      }
    }
    // A route apart is not forgotten soon: listed again, it still has its wait and its outage.
    gone.removeIf(node -> node.inFlight == 0 && !node.lane.kind.routesApart() && drop(node));
  }

  /** Endpoints and destinations come and go for good: what has long been of no use is not kept. */
  void forget() {
    final long beforeUs = state.nowUs - FORGET_US;
    gone.removeIf(node -> node.inFlight == 0 && node.lane.lastSendUs < beforeUs && drop(node));
    vacant.removeIf(
        destination -> {
          if (destination.jobs == 0) {
            destination.lanes.removeIf(lane -> lane.nodes.isEmpty() && lane.lastSendUs < beforeUs);
          }
          final boolean over = destination.jobs == 0 && destination.lanes.isEmpty();
          if (over) {
            state.destinations.remove(destination.id);
          }
          return over
              || destination.jobs > 0
              || destination.lanes.stream().noneMatch(lane -> lane.nodes.isEmpty());
        });
  }

  private boolean drop(final Node node) {
    state.nodes.remove(node.entry.id());
    node.lane.nodes.remove(node);
    vacant.add(node.lane.destination);
    return true;
  }

  private Lane lane(final Endpoint entry) {
    final Destination destination = state.destination(entry.destination());
    final Kind kind =
        entry.kind() < 0 ? new Kind("", false, 1) : state.settings.kinds().get(entry.kind());
    if (kind.routesApart() || destination.lanes.isEmpty()) {
      destination.lanes.add(new Lane(destination, kind, state));
    }
    return destination.lanes.get(destination.lanes.size() - 1);
  }

  /** Where the list must be asked for: once at the start, and again after a loss. */
  void keepList() {
    if (state.settings.listOnRequest()
        && (askAgainUs == Control.NEVER ? !subscribed : state.nowUs >= askAgainUs)) {
      subscribed = true;
      askAgainUs = state.nowUs + Math.min(ASK_MOST_US, state.settings.guarantees().mustAskUs() / 2);
      state.actions.follow();
    }
  }
}
