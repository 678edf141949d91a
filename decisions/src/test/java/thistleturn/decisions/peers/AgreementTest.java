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
 * One number, one content: all orders of three members' messages, each lost, late or doubled as it
 * may be, to a stated depth.
 */
@Tag("peers")
final class AgreementTest {
  private static final List<PeerId> IDS =
      List.of(new PeerId("a", 1), new PeerId("b", 1), new PeerId("c", 1));
  private static final View VIEW =
      new View(1, 7, 1, IDS.stream().map(id -> new Member(id, id.name())).toList(), IDS);
  private static final List<Change> WISHES = List.of(change("x"), change("y"), change("z"));

  /**
   * So many states are enough for every depth that is said below; beyond it the search would have
   * changed.
   */
  private static final int MOST_STATES = 600_000;

  private static Change change(final String name) {
    return new Change(List.of(), List.of(new Member(new PeerId(name, 1), name)));
  }

  private record Envelope(int from, int to, Item.Vote vote) {}

  /** All that was ever said stays on the way: it may come now, later, again, or never. */
  private record World(List<Agreement> members, Set<Envelope> way, int raises, int restarts) {}

  private static World with(
      final World world,
      final int member,
      final UnaryOperator<Agreement> step,
      final int raises,
      final int restarts) {
    final List<Agreement> members = new ArrayList<>(world.members());
    final Agreement changed = step.apply(new Agreement(members.get(member)));
    members.set(member, changed);
    final Set<Envelope> way = new HashSet<>(world.way());
    // What a member says to itself comes at once, as it does in the program; so it goes on until
    // nothing is new.
    boolean more = true;
    while (more) {
      more = false;
      for (final Agreement.Letter letter : changed.pending()) {
        final int to = IDS.indexOf(letter.to());
        if (to != member) {
          way.add(new Envelope(member, to, letter.vote()));
          continue;
        }
        final Agreement before = new Agreement(changed);
        final Item.Vote answer = changed.onVote(IDS.get(member), letter.vote(), change -> true);
        if (answer != null) {
          changed.onVote(IDS.get(member), answer, change -> true);
        }
        more |= !changed.equals(before);
      }
    }
    return new World(members, way, raises, restarts);
  }

  private static World deliver(final World world, final Envelope envelope) {
    final List<Item.Vote> answers = new ArrayList<>();
    final World next =
        with(
            world,
            envelope.to(),
            member -> {
              final Item.Vote answer =
                  member.onVote(IDS.get(envelope.from()), envelope.vote(), change -> true);
              if (answer != null) {
                answers.add(answer);
              }
              return member;
            },
            world.raises(),
            world.restarts());
    answers.forEach(answer -> next.way().add(new Envelope(envelope.to(), envelope.from(), answer)));
    return next;
  }

  /**
   * What can happen next: proposals by two, ballots raised, one amnesia if that is planted, any
   * message that is on its way.
   */
  private static List<World> next(final World world, final int mostRaises, final boolean forgets) {
    final List<World> all = new ArrayList<>();
    for (int member = 0; member < 2; member++) {
      final int one = member;
      if (!world.members().get(member).isProposing()
          && world.members().get(member).decided() == null) {
        all.add(
            with(
                world,
                member,
                agreement -> {
                  agreement.propose(WISHES.get(one));
                  return agreement;
                },
                world.raises(),
                world.restarts()));
      } else if (world.raises() < mostRaises && world.members().get(member).isProposing()) {
        all.add(
            with(
                world,
                member,
                agreement -> {
                  agreement.raise(WISHES.get(one));
                  return agreement;
                },
                world.raises() + 1,
                world.restarts()));
      }
    }
    if (forgets && world.restarts() == 0) {
      for (int member = 0; member < IDS.size(); member++) {
        final int one = member;
        all.add(
            with(world, member, agreement -> new Agreement(VIEW, IDS.get(one)), world.raises(), 1));
      }
    }
    for (final Envelope envelope : world.way()) {
      all.add(deliver(world, envelope));
    }
    return all;
  }

  private record Found(int states, int depth, int decisions, World broken) {}

  private static Found search(final int mostRaises, final int mostDepth, final boolean forgets) {
    Set<World> edge = new HashSet<>();
    edge.add(new World(IDS.stream().map(id -> new Agreement(VIEW, id)).toList(), Set.of(), 0, 0));
    final Set<World> seen = new HashSet<>(edge);
    int decisions = 0;
    int depth = 0;
    while (depth < mostDepth && !edge.isEmpty() && seen.size() < MOST_STATES) {
      depth++;
      final Set<World> further = new HashSet<>();
      for (final World world : edge) {
        for (final World one : next(world, mostRaises, forgets)) {
          if (!seen.add(one)) {
            continue;
          }
          further.add(one);
          final Set<Change> decided = new HashSet<>();
          one.members()
              .forEach(
                  member -> {
                    if (member.decided() != null) {
                      decided.add(member.decided());
                    }
                  });
          decisions += decided.size();
          if (decided.size() > 1) {
            return new Found(seen.size(), depth, decisions, one);
          }
        }
      }
      edge = further;
    }
    return new Found(seen.size(), depth, decisions, null);
  }

  @Test
  void noNumberHasTwoContentsWhateverIsLostLateOrDoubled() {
    final Found found = search(1, 10, false);
    System.out.println(
        "agreement: "
            + found.states()
            + " states to depth "
            + found.depth()
            + ", "
            + found.decisions()
            + " decided");
    assertNull(found.broken());
    assertTrue(found.decisions() > 0, "decisions are within reach of the search");
  }

  /**
   * The search is sharp enough to see what the design rules out: a life that forgets what it
   * promised.
   */
  @Test
  void aMemberThatForgetsWouldBreakIt() {
    assertNotNull(search(0, 12, true).broken());
  }

  @Test
  void aChangeThatMayBeChosenIsCarriedOnByALaterBallot() {
    final List<Agreement> members = IDS.stream().map(id -> new Agreement(VIEW, id)).toList();
    members.get(0).propose(WISHES.get(0));
    final Item.Vote first = members.get(0).pending().get(0).vote();
    assertEquals(Item.Vote.Kind.ACCEPT, first.kind());
    members
        .get(0)
        .onVote(
            IDS.get(0), members.get(0).onVote(IDS.get(0), first, change -> true), change -> true);
    members.get(2).onVote(IDS.get(0), first, change -> true);
    // The first one's answer is lost; another one begins anew with a wish of its own, and meets the
    // third.
    members.get(1).raise(WISHES.get(1));
    for (final Agreement.Letter letter : members.get(1).pending()) {
      if (!letter.to().name().equals("a")) {
        final Agreement to = members.get(IDS.indexOf(letter.to()));
        members
            .get(1)
            .onVote(
                letter.to(), to.onVote(IDS.get(1), letter.vote(), change -> true), change -> true);
      }
    }
    final Item.Vote second = members.get(1).pending().get(0).vote();
    assertEquals(Item.Vote.Kind.ACCEPT_BOUND, second.kind());
    assertEquals(WISHES.get(0), second.change());
    // Nobody may turn that down for its content.
    assertNotNull(members.get(2).onVote(IDS.get(1), second, change -> false));
  }

  @Test
  void whoIsNotOfTheCommitteeNeitherVotesNorIsHeard() {
    final Agreement outside = new Agreement(VIEW, new PeerId("a", 2));
    assertTrue(!outside.mayPropose());
    final Agreement member = new Agreement(VIEW, IDS.get(1));
    final Item.Vote accept =
        new Item.Vote(VIEW.mark(), Item.Vote.Kind.ACCEPT, 0, -1, WISHES.get(0));
    assertNull(outside.onVote(IDS.get(0), accept, change -> true));
    assertNull(member.onVote(new PeerId("a", 2), accept, change -> true));
    assertNotNull(member.onVote(IDS.get(0), accept, change -> true));
    assertNull(
        member.onVote(
            IDS.get(0),
            new Item.Vote(new ViewMark(1, 7, 2, 3), Item.Vote.Kind.PREPARE, 9, -1, null),
            change -> true));
  }
}
