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
 * Checks that at most one change is decided for a view: searches, up to a given depth, all orders
 * of the messages between three members, with each message lost, delayed or duplicated.
 */
@Tag("peers")
final class PaxosInstanceTest {
  private static final List<PeerId> IDS =
      List.of(new PeerId("a", 1), new PeerId("b", 1), new PeerId("c", 1));
  private static final View VIEW =
      new View(1, 7, 1, IDS.stream().map(id -> new ViewMember(id, id.name())).toList(), IDS);
  private static final List<ViewChange> PROPOSALS = List.of(change("x"), change("y"), change("z"));

  /** The maximum number of states; the searches below need fewer. */
  private static final int MAX_STATES = 600_000;

  private static ViewChange change(final String name) {
    return new ViewChange(List.of(), List.of(new ViewMember(new PeerId(name, 1), name)));
  }

  private record Envelope(int from, int to, GossipItem.PaxosMessage message) {}

  /**
   * The states of all members. Each message sent stays in flight: it may arrive at any time,
   * repeatedly, or never.
   */
  private record SystemState(
      List<PaxosInstance> members, Set<Envelope> inFlight, int higherBallots, int restarts) {}

  private static SystemState applyStep(
      final SystemState state,
      final int member,
      final UnaryOperator<PaxosInstance> step,
      final int higherBallots,
      final int restarts) {
    final List<PaxosInstance> members = new ArrayList<>(state.members());
    final PaxosInstance changed = step.apply(new PaxosInstance(members.get(member)));
    members.set(member, changed);
    final Set<Envelope> inFlight = new HashSet<>(state.inFlight());
    // A member delivers messages to itself immediately, as ViewProposer does, until nothing
    // changes.
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
    return new SystemState(members, inFlight, higherBallots, restarts);
  }

  private static SystemState deliver(final SystemState state, final Envelope envelope) {
    final List<GossipItem.PaxosMessage> answers = new ArrayList<>();
    final SystemState next =
        applyStep(
            state,
            envelope.to(),
            member -> {
              final GossipItem.PaxosMessage answer =
                  member.onMessage(IDS.get(envelope.from()), envelope.message(), change -> true);
              if (answer != null) {
                answers.add(answer);
              }
              return member;
            },
            state.higherBallots(),
            state.restarts());
    answers.forEach(
        answer -> next.inFlight().add(new Envelope(envelope.to(), envelope.from(), answer)));
    return next;
  }

  /**
   * Returns the possible next states: one of two members proposes or starts a higher ballot, one
   * member restarts without its state if {@code losesState}, or a message in flight arrives.
   */
  private static List<SystemState> successors(
      final SystemState state, final int maxHigherBallots, final boolean losesState) {
    final List<SystemState> all = new ArrayList<>();
    for (int member = 0; member < 2; member++) {
      final PaxosInstance instance = state.members().get(member);
      if (!instance.isProposing() && instance.decided() == null) {
        all.add(propose(state, member));
      } else if (instance.isProposing() && state.higherBallots() < maxHigherBallots) {
        all.add(startHigherBallot(state, member));
      }
    }
    if (losesState && state.restarts() == 0) {
      for (int member = 0; member < IDS.size(); member++) {
        all.add(restartWithoutState(state, member));
      }
    }
    for (final Envelope envelope : state.inFlight()) {
      all.add(deliver(state, envelope));
    }
    return all;
  }

  private static SystemState propose(final SystemState state, final int member) {
    final UnaryOperator<PaxosInstance> step =
        instance -> {
          instance.propose(PROPOSALS.get(member));
          return instance;
        };
    return applyStep(state, member, step, state.higherBallots(), state.restarts());
  }

  private static SystemState startHigherBallot(final SystemState state, final int member) {
    final UnaryOperator<PaxosInstance> step =
        instance -> {
          instance.startHigherBallot(PROPOSALS.get(member));
          return instance;
        };
    return applyStep(state, member, step, state.higherBallots() + 1, state.restarts());
  }

  private static SystemState restartWithoutState(final SystemState state, final int member) {
    return applyStep(
        state,
        member,
        instance -> new PaxosInstance(VIEW, IDS.get(member)),
        state.higherBallots(),
        1);
  }

  private record SearchResult(int states, int depth, int decisions, SystemState violation) {}

  private static SearchResult search(
      final int maxHigherBallots, final int maxDepth, final boolean losesState) {
    Set<SystemState> frontier = new HashSet<>();
    frontier.add(
        new SystemState(
            IDS.stream().map(id -> new PaxosInstance(VIEW, id)).toList(), Set.of(), 0, 0));
    final Set<SystemState> seen = new HashSet<>(frontier);
    int decisions = 0;
    int depth = 0;
    while (depth < maxDepth && !frontier.isEmpty() && seen.size() < MAX_STATES) {
      depth++;
      final Set<SystemState> nextFrontier = new HashSet<>();
      for (final SystemState state : frontier) {
        for (final SystemState next : successors(state, maxHigherBallots, losesState)) {
          if (!seen.add(next)) {
            continue;
          }
          nextFrontier.add(next);
          final Set<ViewChange> decided = new HashSet<>();
          next.members()
              .forEach(
                  member -> {
                    if (member.decided() != null) {
                      decided.add(member.decided());
                    }
                  });
          decisions += decided.size();
          if (decided.size() > 1) {
            return new SearchResult(seen.size(), depth, decisions, next);
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
    assertTrue(result.decisions() > 0, "the search reaches no decision");
  }

  /**
   * The search detects the violation that the design rules out: an incarnation that restarts
   * without the promises that it made.
   */
  @Test
  void restartedAcceptorThatLostPromises_violatesAgreement() {
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
    // The answer to the first member is lost; the second member starts a ballot with its own
    // change, and its messages reach the third.
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
    final PaxosInstance nonMember = new PaxosInstance(VIEW, new PeerId("a", 2));
    assertTrue(!nonMember.isCommitteeMember());
    final PaxosInstance member = new PaxosInstance(VIEW, IDS.get(1));
    final GossipItem.PaxosMessage accept =
        new GossipItem.PaxosMessage(
            VIEW.viewId(), GossipItem.PaxosMessage.Type.ACCEPT, 0, -1, PROPOSALS.get(0));
    assertNull(nonMember.onMessage(IDS.get(0), accept, change -> true));
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
