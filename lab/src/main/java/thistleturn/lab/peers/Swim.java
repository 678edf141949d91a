package thistleturn.lab.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * SWIM with suspicion, after its publication (Das, Gupta, Motivala: "SWIM: scalable
 * weakly-consistent infection-style process group membership protocol", DSN 2002): each period, one
 * peer of a shuffled round is probed; if it does not acknowledge, some other peers probe it
 * indirectly; if that fails too, it is suspected, and declared dead after a timeout unless it
 * refutes the suspicion. Updates are piggybacked on the messages of the failure detector.
 */
public final class Swim extends Baseline {
  private static final long PERIOD_US = 500 * MS;
  private static final long ACK_TIMEOUT_US = 200 * MS;
  private static final int INDIRECT_PROBES = 3;
  private static final int DISSEMINATION_FACTOR = 4;
  private static final int MAX_PIGGYBACKED = 10;
  private static final int UPDATE_BYTES = 40;
  private static final int DEAD_PROBE_DIVISOR = 64;

  private final long suspicionUs;
  private final Map<String, Dissemination> disseminations = new HashMap<>();
  private final List<String> round = new ArrayList<>();
  private long refutation;
  private long nextPeriodUs;
  private String probed;
  private long probedUs;
  private boolean indirectlyProbed;
  private boolean acknowledged;

  private enum Liveness {
    ALIVE,
    SUSPECT,
    DEAD
  }

  private record Update(String subject, long incarnation, long refutation, Liveness liveness) {}

  private record Message(
      Kind kind, String from, long incarnation, String subject, List<Update> updates) {
    enum Kind {
      PING,
      ACK,
      PING_REQUEST
    }
  }

  private static final class Dissemination {
    private Update update;
    private int remainingSends;
  }

  private Swim(
      final int number,
      final int restarts,
      final List<String> names,
      final long seed,
      final long nowUs,
      final Network network,
      final long suspicionUs) {
    super(number, restarts, names, seed, nowUs, network);
    this.suspicionUs = suspicionUs;
    disseminate(new Update(name, incarnationAtStart, 0, Liveness.ALIVE));
  }

  /** A node with the given suspicion timeout, us. */
  public static Factory factory(final long suspicionUs) {
    return (number, restarts, names, seed, nowUs, network) ->
        new Swim(number, restarts, names, seed, nowUs, network, suspicionUs);
  }

  private void disseminate(final Update update) {
    final Dissemination dissemination =
        disseminations.computeIfAbsent(update.subject(), subject -> new Dissemination());
    dissemination.update = update;
    dissemination.remainingSends =
        DISSEMINATION_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(others.size()));
  }

  private void send(final String to, final Message.Kind kind, final String subject) {
    final List<Update> updates = new ArrayList<>();
    disseminations.values().stream()
        .filter(one -> one.remainingSends > 0)
        .sorted((one, other) -> other.remainingSends - one.remainingSends)
        .limit(MAX_PIGGYBACKED)
        .forEach(
            one -> {
              one.remainingSends--;
              updates.add(one.update);
            });
    network.send(
        to,
        new Message(kind, name, incarnationAtStart, subject, updates),
        HEADER_BYTES + updates.size() * UPDATE_BYTES);
  }

  @Override
  public void tick(final long nowUs) {
    if (probed != null
        && !acknowledged
        && !indirectlyProbed
        && nowUs - probedUs >= ACK_TIMEOUT_US) {
      indirectlyProbed = true;
      final List<String> relays = new ArrayList<>(others.keySet());
      Collections.shuffle(relays, new Random(random.nextLong()));
      relays.stream()
          .filter(relay -> !relay.equals(probed) && !others.get(relay).dead)
          .limit(INDIRECT_PROBES)
          .forEach(relay -> send(relay, Message.Kind.PING_REQUEST, probed));
    }
    if (nowUs >= nextPeriodUs) {
      nextPeriodUs = nowUs + PERIOD_US;
      if (probed != null && !acknowledged) {
        suspect(others.get(probed), nowUs);
      }
      probeNext(nowUs);
    }
    for (final PeerRecord other : others.values()) {
      if (other.suspectUs >= 0 && nowUs - other.suspectUs >= suspicionUs) {
        other.suspectUs = -1;
        setDead(other, true);
        disseminate(new Update(other.name, other.incarnation, other.refutation, Liveness.DEAD));
      }
    }
  }

  private void probeNext(final long nowUs) {
    if (round.isEmpty()) {
      round.addAll(others.keySet());
      Collections.shuffle(round, new Random(random.nextLong()));
    }
    probed = null;
    while (!round.isEmpty() && probed == null) {
      final PeerRecord other = others.get(round.remove(round.size() - 1));
      // Dead peers are probed at times, too, so that the views recover after a healed partition.
      if (!other.dead || random.nextInt(DEAD_PROBE_DIVISOR) < DEAD_PROBE_DIVISOR / 4) {
        probed = other.name;
        probedUs = nowUs;
        acknowledged = false;
        indirectlyProbed = false;
        send(other.name, Message.Kind.PING, "");
      }
    }
  }

  private void suspect(final PeerRecord other, final long nowUs) {
    if (!other.dead && other.suspectUs < 0 && other.incarnation > 0) {
      other.suspectUs = nowUs;
      disseminate(new Update(other.name, other.incarnation, other.refutation, Liveness.SUSPECT));
    }
  }

  @Override
  public void receive(final Object received, final long nowUs) {
    final Message message = (Message) received;
    final PeerRecord from = others.get(message.from());
    recordHeard(from, message.incarnation(), nowUs);
    message.updates().forEach(update -> applyUpdate(update, nowUs));
    switch (message.kind()) {
      case PING -> {
        if (from.dead) {
          // It is running: inform it that it is regarded as dead, so that it can refute this.
          disseminate(new Update(from.name, from.incarnation, from.refutation, Liveness.DEAD));
        }
        send(message.from(), Message.Kind.ACK, message.subject());
      }
      case PING_REQUEST ->
          network.send(
              message.subject(),
              new Message(Message.Kind.PING, name, incarnationAtStart, message.from(), List.of()),
              HEADER_BYTES);
      case ACK -> {
        if (!message.subject().isEmpty() && !message.subject().equals(name)) {
          // Acknowledgement of an indirect probe: forward it to the process that requested it.
          network.send(
              message.subject(),
              new Message(Message.Kind.ACK, message.from(), message.incarnation(), "", List.of()),
              HEADER_BYTES);
        } else if (message.from().equals(probed)) {
          acknowledged = true;
        }
      }
    }
  }

  private void applyUpdate(final Update update, final long nowUs) {
    if (update.subject().equals(name)) {
      if (update.incarnation() == incarnationAtStart
          && update.liveness() != Liveness.ALIVE
          && update.refutation() >= refutation) {
        refutation = update.refutation() + 1;
        disseminate(new Update(name, incarnationAtStart, refutation, Liveness.ALIVE));
      }
      return;
    }
    final PeerRecord other = others.get(update.subject());
    if (update.incarnation() < other.incarnation) {
      return;
    }
    if (update.incarnation() > other.incarnation) {
      recordHeard(other, update.incarnation(), nowUs);
      if (update.liveness() != Liveness.DEAD) {
        disseminate(update);
      }
    }
    if (update.liveness() == Liveness.ALIVE && update.refutation() > other.refutation) {
      other.refutation = update.refutation();
      other.suspectUs = -1;
      setDead(other, false);
      disseminate(update);
    } else if (update.liveness() == Liveness.SUSPECT
        && update.refutation() >= other.refutation
        && !other.dead
        && other.suspectUs < 0) {
      other.refutation = update.refutation();
      suspect(other, nowUs);
    } else if (update.liveness() == Liveness.DEAD
        && update.refutation() >= other.refutation
        && !other.dead) {
      other.refutation = update.refutation();
      other.suspectUs = -1;
      setDead(other, true);
      disseminate(update);
    }
  }
}
