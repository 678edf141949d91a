package thistleturn.decisions.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * At most one change is decided for a view: searches all orders of the messages of three members,
 * each lost, delayed or duplicated, to a stated depth.
 */
@Tag("peers")
final class PaxosInstanceTest {
  private static final List<PeerId> IDS =
      List.of(new PeerId("a", 1), new PeerId("b", 1), new PeerId("c", 1));
  private static final View VIEW =
      new View(1, 7, 1, IDS.stream().map(id -> new ViewMember(id, id.name())).toList(), IDS);
  private static final List<ViewChange> PROPOSALS = List.of(change("x"), change("y"), change("z"));

  /** Enough for every depth below; a search that needs more has changed. */
  private static final int MAX_STATES = 600_000;

  private static ViewChange change(final String name) {
    return new ViewChange(List.of(), List.of(new ViewMember(new PeerId(name, 1), name)));
  }

  private record Envelope(int from, int to, GossipItem.PaxosMessage message) {}

  /** Every message ever sent stays in flight: it may arrive now, later, again, or never. */
  private record World(
      List<PaxosInstance> members, Set<Envelope> inFlight, int higherBallots, int restarts) {}

  private static World applyStep(
      final World world,
      final int member,
      final UnaryOperator<PaxosInstance> step,
      final int higherBallots,
      final int restarts) {
    final List<PaxosInstance> members = new ArrayList<>(world.members());
    final PaxosInstance changed = step.apply(new PaxosInstance(members.get(member)));
    members.set(member, changed);
    final Set<Envelope> inFlight = new HashSet<>(world.inFlight());
    // A member delivers its messages to itself at once, as the program does, until nothing changes.
    boolean progressed = true;
    while (progressed) {
      progressed = false;
      for (final PaxosInstance.AddressedMessage outgoing : changed.outstandingMessages()) {
        final int to = IDS.indexOf(outgoing.to());
        if (to != member) {
          inFlight.add(new Envelope(member, to, outgoing.message()));
          continue;
        }
        final PaxosInstance before = new PaxosInstance(changed);
        final GossipItem.PaxosMessage answer =
            changed.onMessage(IDS.get(member), outgoing.message(), change -> true);
        if (answer != null) {
          changed.onMessage(IDS.get(member), answer, change -> true);
        }
        progressed |= !changed.equals(before);
      }
    }
    return new World(members, inFlight, higherBallots, restarts);
  }

  private static World deliver(final World world, final Envelope envelope) {
    final List<GossipItem.PaxosMessage> answers = new ArrayList<>();
    final World next =
        applyStep(
            world,
            envelope.to(),
            member -> {
              final GossipItem.PaxosMessage answer =
                  member.onMessage(IDS.get(envelope.from()), envelope.message(), change -> true);
              if (answer != null) {
                answers.add(answer);
              }
              return member;
            },
            world.higherBallots(),
            world.restarts());
    answers.forEach(
        answer -> next.inFlight().add(new Envelope(envelope.to(), envelope.from(), answer)));
    return next;
  }

  /**
   * Returns what can happen next: two members propose or start a higher ballot, one member forgets
   * everything if that is planted, or any message in flight arrives.
   */
  private static List<World> successors(
      final World world, final int maxHigherBallots, final boolean forgets) {
    final List<World> all = new ArrayList<>();
    for (int member = 0; member < 2; member++) {
      final PaxosInstance instance = world.members().get(member);
      if (!instance.isProposing() && instance.decided() == null) {
        all.add(propose(world, member));
      } else if (instance.isProposing() && world.higherBallots() < maxHigherBallots) {
        all.add(startHigherBallot(world, member));
      }
    }
    if (forgets && world.restarts() == 0) {
      for (int member = 0; member < IDS.size(); member++) {
        all.add(forgetEverything(world, member));
      }
    }
    for (final Envelope envelope : world.inFlight()) {
      all.add(deliver(world, envelope));
    }
    return all;
  }

  private static World propose(final World world, final int member) {
    final UnaryOperator<PaxosInstance> step =
        instance -> {
          instance.propose(PROPOSALS.get(member));
          return instance;
        };
    return applyStep(world, member, step, world.higherBallots(), world.restarts());
  }

  private static World startHigherBallot(final World world, final int member) {
    final UnaryOperator<PaxosInstance> step =
        instance -> {
          instance.startHigherBallot(PROPOSALS.get(member));
          return instance;
        };
    return applyStep(world, member, step, world.higherBallots() + 1, world.restarts());
  }

  private static World forgetEverything(final World world, final int member) {
    return applyStep(
        world,
        member,
        instance -> new PaxosInstance(VIEW, IDS.get(member)),
        world.higherBallots(),
        1);
  }

  private record SearchResult(int states, int depth, int decisions, World violation) {}

  private static SearchResult search(
      final int maxHigherBallots, final int maxDepth, final boolean forgets) {
    Set<World> frontier = new HashSet<>();
    frontier.add(
        new World(IDS.stream().map(id -> new PaxosInstance(VIEW, id)).toList(), Set.of(), 0, 0));
    final Set<World> seen = new HashSet<>(frontier);
    int decisions = 0;
    int depth = 0;
    while (depth < maxDepth && !frontier.isEmpty() && seen.size() < MAX_STATES) {
      depth++;
      final Set<World> nextFrontier = new HashSet<>();
      for (final World world : frontier) {
        for (final World one : successors(world, maxHigherBallots, forgets)) {
          if (!seen.add(one)) {
            continue;
          }
          nextFrontier.add(one);
          final Set<ViewChange> decided = new HashSet<>();
          one.members()
              .forEach(
                  member -> {
                    if (member.decided() != null) {
                      decided.add(member.decided());
                    }
                  });
          decisions += decided.size();
          if (decided.size() > 1) {
            return new SearchResult(seen.size(), depth, decisions, one);
          }
        }
      }
      frontier = nextFrontier;
    }
    return new SearchResult(seen.size(), depth, decisions, null);
  }

  @Test
  void anyMessageOrder_decidesAtMostOneChangePerView() {
    final SearchResult result = search(1, 10, false);
    System.out.println(
        "agreement: "
            + result.states()
            + " states to depth "
            + result.depth()
            + ", "
            + result.decisions()
            + " decided");
    assertNull(result.violation());
    assertTrue(result.decisions() > 0, "the search reaches decisions");
  }

  /** The search finds what the design rules out: an incarnation that forgets what it promised. */
  @Test
  void restartedAcceptorThatForgetsPromises_violatesAgreement() {
    assertNotNull(search(0, 12, true).violation());
  }

  @Test
  void laterBallot_adoptsPossiblyChosenChange() {
    final List<PaxosInstance> members =
        IDS.stream().map(id -> new PaxosInstance(VIEW, id)).toList();
    members.get(0).propose(PROPOSALS.get(0));
    final GossipItem.PaxosMessage first = members.get(0).outstandingMessages().get(0).message();
    assertEquals(GossipItem.PaxosMessage.Type.ACCEPT, first.type());
    members
        .get(0)
        .onMessage(
            IDS.get(0),
            members.get(0).onMessage(IDS.get(0), first, change -> true),
            change -> true);
    members.get(2).onMessage(IDS.get(0), first, change -> true);
    // The answer to the first member is lost; the second starts a ballot with its own change, and
    // reaches the third.
    members.get(1).startHigherBallot(PROPOSALS.get(1));
    for (final PaxosInstance.AddressedMessage outgoing : members.get(1).outstandingMessages()) {
      if (!outgoing.to().name().equals("a")) {
        final PaxosInstance to = members.get(IDS.indexOf(outgoing.to()));
        members
            .get(1)
            .onMessage(
                outgoing.to(),
                to.onMessage(IDS.get(1), outgoing.message(), change -> true),
                change -> true);
      }
    }
    final GossipItem.PaxosMessage second = members.get(1).outstandingMessages().get(0).message();
    assertEquals(GossipItem.PaxosMessage.Type.ACCEPT_BOUND, second.type());
    assertEquals(PROPOSALS.get(0), second.change());
    // No acceptor may reject that change for its content.
    assertNotNull(members.get(2).onMessage(IDS.get(1), second, change -> false));
  }

  @Test
  void nonCommitteeMember_neitherVotesNorIsAnswered() {
    final PaxosInstance outside = new PaxosInstance(VIEW, new PeerId("a", 2));
    assertTrue(!outside.isCommitteeMember());
    final PaxosInstance member = new PaxosInstance(VIEW, IDS.get(1));
    final GossipItem.PaxosMessage accept =
        new GossipItem.PaxosMessage(
            VIEW.viewId(), GossipItem.PaxosMessage.Type.ACCEPT, 0, -1, PROPOSALS.get(0));
    assertNull(outside.onMessage(IDS.get(0), accept, change -> true));
    assertNull(member.onMessage(new PeerId("a", 2), accept, change -> true));
    assertNotNull(member.onMessage(IDS.get(0), accept, change -> true));
    assertNull(
        member.onMessage(
            IDS.get(0),
            new GossipItem.PaxosMessage(
                new ViewId(1, 7, 2, 3), GossipItem.PaxosMessage.Type.PREPARE, 9, -1, null),
            change -> true));
  }
}
