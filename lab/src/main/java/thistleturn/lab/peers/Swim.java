package thistleturn.lab.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * SWIM with suspicion, after its publication (Das, Gupta, Motivala: "SWIM: scalable
 * weakly-consistent infection-style process group membership protocol", DSN 2002): one is asked
 * each period in a shuffled round; if it does not answer, some others are asked to ask it; then it
 * is suspect, and dead after a time unless it speaks against that. News rides on what is sent
 * anyway.
 */
public final class Swim extends Baseline {
  private static final long PERIOD_US = 500 * MS;
  private static final long ANSWER_US = 200 * MS;
  private static final int HELPERS = 3;
  private static final int SPREAD = 4;
  private static final int MOST_NEWS = 10;
  private static final int NEWS_BYTES = 40;
  private static final int DEAD_MEMORY = 64;

  private final long suspicionUs;
  private final Map<String, Rumour> rumours = new HashMap<>();
  private final List<String> round = new ArrayList<>();
  private long refuted;
  private long periodUs;
  private String asked;
  private long askedUs;
  private boolean helped;
  private boolean answered;

  private enum Life {
    ALIVE,
    SUSPECT,
    DEAD
  }

  private record News(String about, long incarnation, long refuted, Life life) {}

  private record Message(Kind kind, String from, long incarnation, String about, List<News> news) {
    enum Kind {
      PING,
      ACK,
      HELP
    }
  }

  private static final class Rumour {
    private News news;
    private int left;
  }

  private Swim(
      final int number,
      final int life,
      final List<String> names,
      final long seed,
      final long nowUs,
      final Wire wire,
      final long suspicionUs) {
    super(number, life, names, seed, nowUs, wire);
    this.suspicionUs = suspicionUs;
    spread(new News(name, incarnationAtStart, 0, Life.ALIVE));
  }

  /** With that time from suspicion to death, us. */
  public static Maker maker(final long suspicionUs) {
    return (number, life, names, seed, nowUs, wire) ->
        new Swim(number, life, names, seed, nowUs, wire, suspicionUs);
  }

  private void spread(final News news) {
    final Rumour rumour = rumours.computeIfAbsent(news.about(), about -> new Rumour());
    rumour.news = news;
    rumour.left = SPREAD * (Integer.SIZE - Integer.numberOfLeadingZeros(others.size()));
  }

  private void send(final String to, final Message.Kind kind, final String about) {
    final List<News> news = new ArrayList<>();
    rumours.values().stream()
        .filter(one -> one.left > 0)
        .sorted((one, other) -> other.left - one.left)
        .limit(MOST_NEWS)
        .forEach(
            one -> {
              one.left--;
              news.add(one.news);
            });
    wire.send(
        to,
        new Message(kind, name, incarnationAtStart, about, news),
        HEAD_BYTES + news.size() * NEWS_BYTES);
  }

  @Override
  public void tick(final long nowUs) {
    if (asked != null && !answered && !helped && nowUs - askedUs >= ANSWER_US) {
      helped = true;
      final List<String> helpers = new ArrayList<>(others.keySet());
      Collections.shuffle(helpers, new Random(random.nextLong()));
      helpers.stream()
          .filter(helper -> !helper.equals(asked) && !others.get(helper).dead)
          .limit(HELPERS)
          .forEach(helper -> send(helper, Message.Kind.HELP, asked));
    }
    if (nowUs >= periodUs) {
      periodUs = nowUs + PERIOD_US;
      if (asked != null && !answered) {
        suspect(others.get(asked), nowUs);
      }
      next(nowUs);
    }
    for (final Other other : others.values()) {
      if (other.suspectUs >= 0 && nowUs - other.suspectUs >= suspicionUs) {
        other.suspectUs = -1;
        dead(other, true);
        spread(new News(other.name, other.incarnation, other.refuted, Life.DEAD));
      }
    }
  }

  private void next(final long nowUs) {
    if (round.isEmpty()) {
      round.addAll(others.keySet());
      Collections.shuffle(round, new Random(random.nextLong()));
    }
    asked = null;
    while (!round.isEmpty() && asked == null) {
      final Other other = others.get(round.remove(round.size() - 1));
      // The dead are asked now and then, too, so that a healed cut heals the views.
      if (!other.dead || random.nextInt(DEAD_MEMORY) < DEAD_MEMORY / 4) {
        asked = other.name;
        askedUs = nowUs;
        answered = false;
        helped = false;
        send(other.name, Message.Kind.PING, "");
      }
    }
  }

  private void suspect(final Other other, final long nowUs) {
    if (!other.dead && other.suspectUs < 0 && other.incarnation > 0) {
      other.suspectUs = nowUs;
      spread(new News(other.name, other.incarnation, other.refuted, Life.SUSPECT));
    }
  }

  @Override
  public void receive(final Object what, final long nowUs) {
    final Message message = (Message) what;
    final Other from = others.get(message.from());
    heard(from, message.incarnation(), nowUs);
    message.news().forEach(news -> learn(news, nowUs));
    switch (message.kind()) {
      case PING -> {
        if (from.dead) {
          // It lives, and is told that it is held for dead.
          spread(new News(from.name, from.incarnation, from.refuted, Life.DEAD));
        }
        send(message.from(), Message.Kind.ACK, message.about());
      }
      case HELP ->
          wire.send(
              message.about(),
              new Message(Message.Kind.PING, name, incarnationAtStart, message.from(), List.of()),
              HEAD_BYTES);
      case ACK -> {
        if (!message.about().isEmpty() && !message.about().equals(name)) {
          // Asked for another's sake.
          wire.send(
              message.about(),
              new Message(Message.Kind.ACK, message.from(), message.incarnation(), "", List.of()),
              HEAD_BYTES);
        } else if (message.from().equals(asked)) {
          answered = true;
        }
      }
    }
  }

  private void learn(final News news, final long nowUs) {
    if (news.about().equals(name)) {
      if (news.incarnation() == incarnationAtStart
          && news.life() != Life.ALIVE
          && news.refuted() >= refuted) {
        refuted = news.refuted() + 1;
        spread(new News(name, incarnationAtStart, refuted, Life.ALIVE));
      }
      return;
    }
    final Other other = others.get(news.about());
    if (news.incarnation() < other.incarnation) {
      return;
    }
    if (news.incarnation() > other.incarnation) {
      heard(other, news.incarnation(), nowUs);
      if (news.life() != Life.DEAD) {
        spread(news);
      }
    }
    if (news.life() == Life.ALIVE && news.refuted() > other.refuted) {
      other.refuted = news.refuted();
      other.suspectUs = -1;
      dead(other, false);
      spread(news);
    } else if (news.life() == Life.SUSPECT
        && news.refuted() >= other.refuted
        && !other.dead
        && other.suspectUs < 0) {
      other.refuted = news.refuted();
      suspect(other, nowUs);
    } else if (news.life() == Life.DEAD && news.refuted() >= other.refuted && !other.dead) {
      other.refuted = news.refuted();
      other.suspectUs = -1;
      dead(other, true);
      spread(news);
    }
  }
}
