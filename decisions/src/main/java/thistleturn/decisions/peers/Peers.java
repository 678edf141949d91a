package thistleturn.decisions.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A courier's part in knowing who is in its fleet. It is told of datagrams, of what becomes of
 * connections, and of time by ticks; it says what to send, whom to connect to, and what happened.
 * Design and promises: docs/design/peers.md. Times are microseconds on a clock that goes on while
 * the process stands still.
 */
public final class Peers {
  /** A tick later than its time by so much, us: the process did not run meanwhile. */
  private static final long LATE_US = 250_000;

  private static final int TARGETS = 3;

  /** A piece goes out so often for each doubling of the fleet. */
  private static final int SPREAD = 3;

  /**
   * How often the full state goes to somebody: no sooner, and no more bytes a second where there is
   * more to tell.
   */
  private static final long FULL_US = 10_000_000;

  private static final int FULL_PER_PERIOD = 100;

  /** How often the same one is sent what it lacks, and asked for what this courier lacks, us. */
  private static final long PUSH_US = 300_000;

  private static final long ASK_US = 500_000;

  /**
   * Signs of life of those in doubt, or yet to be let in, are passed on so often, us, and so many
   * in a datagram.
   */
  private static final long PASS_US = 400_000;

  private static final int MOST_SIGNS = 8;
  private static final long PRUNE_US = 10_000_000;
  private static final long SAY_US = 1_000_000;
  private static final long LOOK_US = 5_000_000;
  private static final long JOIN_US = 500_000;
  private static final long KNOCK_US = 3_000_000;

  /** How many are told of a farewell by its own datagrams. */
  private static final int FAREWELLS = 32;

  private final PeerRules rules;
  private final String address;
  private final List<String> seeds;
  private final SplittableRandom random;
  private final Out out;
  private final Roll roll;
  private final Watch watch;
  private final Assembly assembly;
  private final Rumours rumours;

  /**
   * Signs of life to be passed on at the next tick, to others by lot: answers alone would reach the
   * same ones again and again.
   */
  private final Map<String, Item> signs = new LinkedHashMap<>();

  private PeerId self;
  private long seq;
  private long beat;
  private long said;
  private PeerWord word = PeerWord.WELL;
  private long saidUs = Peer.NEVER;
  private long dueUs;

  /** When it last ran. */
  private long lastUs;

  private long seedUs;
  private long askUs;
  private long fullUs;
  private long pruneUs;
  private long lookUs;
  private long awayMs;
  private boolean leaving;

  /** Where the other process of this name listens; null: there is none. */
  private String rival;

  /** True once it was in a view: then a later life under its name is not its own past. */
  private boolean belonged;

  private long turnedDown;

  /** What goes out. Addresses are {@code host:port}, as their owners tell them. */
  public interface Out {
    /** A datagram; it may be lost. */
    void send(String to, Packet packet);

    /**
     * Begins a connection there that is kept; what becomes of it is told. One that is there already
     * is ended first.
     */
    void connect(String to);

    /** Ends the connection there, if there is one; nothing more is told of it. */
    void disconnect(String to);

    /** All that is known, over a connection, kept or made for it; it may be lost. */
    void full(String to, Full full);

    /** Something for operators. */
    void happened(PeerEvent event);
  }

  /**
   * Begins.
   *
   * @param address where this courier listens
   * @param seeds where others may listen
   * @param seed of all chance here
   */
  public Peers(
      final PeerRules rules,
      final PeerId self,
      final String address,
      final List<String> seeds,
      final long seed,
      final long nowUs,
      final Out out) {
    this.rules = rules;
    this.self = self;
    this.address = address;
    this.seeds = List.copyOf(seeds);
    this.random = new SplittableRandom(seed);
    this.out = out;
    this.roll = new Roll(rules, self.incarnation(), nowUs);
    this.watch = new Watch(rules, roll, self, out, this::reportOwn);
    final int place = seeds.indexOf(address);
    this.assembly =
        new Assembly(
            rules,
            roll,
            watch,
            self,
            address,
            place >= 0 ? place : seeds.size(),
            nowUs,
            new Port());
    this.rumours = new Rumours(nowUs);
    this.dueUs = nowUs;
    this.lastUs = nowUs;
    this.fullUs = nowUs + FULL_US;
  }

  private final class Port implements Assembly.Port {
    @Override
    public void vote(final Member to, final Item.Vote vote) {
      final List<Item> items = new ArrayList<>(List.of(vote));
      out.send(to.address(), packet(Packet.Kind.NEWS, 0, items));
    }

    @Override
    public void spread(final Item item) {
      Peers.this.spread(item);
    }

    @Override
    public PeerId beginAgain() {
      Peers.this.beginAgain(self.incarnation() + 1);
      return self;
    }

    @Override
    public long lot(final long bound) {
      return random.nextLong(bound);
    }

    @Override
    public void event(final PeerEvent.Kind kind, final String who, final String text) {
      out.happened(new PeerEvent(kind, who, text));
    }
  }

  // ---------------------------------------------------------------- what is said

  private Packet packet(final Packet.Kind kind, final long echo, final List<Item> items) {
    int used = 0;
    for (final Item item : items) {
      used += item.bytes();
    }
    rumours.fill(items, used, lastUs);
    return new Packet(
        self, address, ++seq, beat, assembly.mark(), said, word, kind, echo, List.copyOf(items));
  }

  private void spread(final Item item) {
    rumours.add(item, SPREAD * (Long.SIZE - Long.numberOfLeadingZeros(roll.living().size() + 1L)));
  }

  private void passOn(final Item item, final boolean news) {
    if (news) {
      spread(item);
    } else {
      rumours.met(item);
    }
  }

  private void reportOwn(final Item.Report report) {
    if (roll.report(report, lastUs)) {
      spread(report);
    }
  }

  private void beginAgain(final long incarnation) {
    self = new PeerId(self.name(), incarnation);
    watch.begin(self);
    assembly.begin(self);
    for (final Peer peer : roll.all()) {
      if (peer.doubts.remove(self.name()) != null && peer.doubts.isEmpty()) {
        peer.doubtedUs = Peer.NEVER;
      }
    }
    spread(new Item.Fact(self, address, Item.Life.ALIVE));
    out.happened(
        new PeerEvent(
            PeerEvent.Kind.STATE, self.name(), "begins another life here: " + incarnation));
  }

  // ---------------------------------------------------------------- time

  /** This process runs; whatever it finds late by then is its own lateness. */
  private void feel(final long nowUs) {
    lastUs = nowUs;
    final long awayUs = nowUs - dueUs;
    if (awayUs > LATE_US) {
      dueUs = nowUs;
      roll.shift(awayUs);
      watch.away(nowUs);
      awayMs = awayUs / 1000;
      if (awayUs >= rules.silentUs()) {
        out.happened(new PeerEvent(PeerEvent.Kind.AWAY, "", "did not run for " + awayMs + " ms"));
      }
    }
  }

  /** To be called every {@link PeerRules#tickUs}. */
  public void tick(final long nowUs) {
    feel(nowUs);
    dueUs = nowUs + rules.tickUs();
    if (leaving) {
      return;
    }
    if (rival != null) {
      look(nowUs);
      return;
    }
    beat++;
    knock(nowUs);
    for (final Peer peer : watch.tick(nowUs)) {
      peer.pingSeq = seq + 1;
      peer.pingUs = nowUs;
      out.send(peer.address, packet(Packet.Kind.PING, 0, new ArrayList<>()));
    }
    assembly.tick(nowUs);
    belonged |= assembly.has(self);
    gossip();
    tellAll(nowUs);
    show(nowUs);
    if (nowUs >= pruneUs) {
      pruneUs = nowUs + PRUNE_US;
      roll.prune(nowUs);
    }
  }

  /**
   * Asks at those of the seeds' addresses at which it knows nobody: often while it has not come
   * together with others, now and then for good, since those who begin there know of nobody else.
   */
  private void knock(final long nowUs) {
    if (nowUs < seedUs) {
      return;
    }
    final boolean together = assembly.standing() == Standing.MAJORITY && !roll.living().isEmpty();
    seedUs = nowUs + (together ? KNOCK_US : JOIN_US);
    final Set<String> known = new HashSet<>();
    known.add(address);
    roll.living().forEach(peer -> known.add(peer.address));
    for (final String to : seeds) {
      if (!known.contains(to)) {
        out.send(to, packet(Packet.Kind.PING, 0, new ArrayList<>()));
      }
    }
  }

  private void gossip() {
    final List<Peer> living = roll.living();
    final List<Item> passed = signs.values().stream().limit(MOST_SIGNS).toList();
    for (int target = 0; target < Math.min(TARGETS, living.size()); target++) {
      if (passed.isEmpty() && rumours.isEmpty(lastUs)) {
        break;
      }
      out.send(
          living.get(random.nextInt(living.size())).address,
          packet(Packet.Kind.NEWS, 0, new ArrayList<>(passed)));
    }
    signs.clear();
  }

  /** The full state to one of the others, now and then. */
  private void tellAll(final long nowUs) {
    final List<Peer> living = roll.living();
    if (nowUs < fullUs || living.isEmpty()) {
      return;
    }
    fullUs =
        nowUs
            + FULL_US * Math.max(1, living.size() / FULL_PER_PERIOD)
            + random.nextLong(FULL_US / 4);
    out.full(living.get(random.nextInt(living.size())).address, full(nowUs));
  }

  private Full full(final long nowUs) {
    final List<Item> items = new ArrayList<>();
    for (final Peer peer : roll.all()) {
      items.add(new Item.Fact(peer.id, peer.address, peer.life));
      if (peer.said > 0) {
        items.add(new Item.Said(peer.id, peer.said, peer.word));
      }
      for (final Peer.Doubt doubt : peer.doubts.values()) {
        final Peer.Row row = peer.rows.get(doubt.observer().name());
        if (row != null) {
          items.add(
              new Item.Report(
                  doubt.observer(), peer.id, row.row(), doubt.sight(), nowUs - doubt.sinceUs()));
        }
      }
    }
    return new Full(self, address, assembly.view(), items);
  }

  /** Tells operators what has changed. */
  private void show(final long nowUs) {
    for (final Peer peer : roll.all()) {
      final PeerState state = roll.state(peer, assembly.has(peer.id), nowUs);
      if (state != peer.shown) {
        peer.shown = state;
        peer.shownUs = nowUs;
        out.happened(new PeerEvent(PeerEvent.Kind.STATE, peer.id.name(), describe(peer, state)));
      }
    }
  }

  private static String describe(final Peer peer, final PeerState state) {
    return switch (state) {
      case JOINING -> "joins, at " + peer.address;
      case ALIVE -> "is alive";
      case PARTLY ->
          "is heard by some, not by " + String.join(", ", new TreeSet<>(peer.doubts.keySet()));
      case SUSPECT ->
          "is suspect: not heard by " + String.join(", ", new TreeSet<>(peer.doubts.keySet()));
      case DEAD -> "is dead by agreement";
      case LEFT -> "has left";
    };
  }

  // ---------------------------------------------------------------- what comes

  /** A datagram that was sealed by one of this fleet. */
  public void onPacket(final Packet packet, final long nowUs) {
    feel(nowUs);
    if (leaving) {
      return;
    }
    if (packet.sender() == null) {
      onLook(packet);
      return;
    }
    if (packet.sender().name().equals(self.name())) {
      onOwnName(packet.sender(), packet.address(), Item.Life.ALIVE, nowUs);
      return;
    }
    if (!roll.isPlausible(packet.sender(), nowUs)) {
      turnedDown++;
      return;
    }
    if (rival != null) {
      packet.items().forEach(item -> onItem(item, packet, nowUs));
      return;
    }
    final Item.Fact fact = new Item.Fact(packet.sender(), packet.address(), Item.Life.ALIVE);
    if (roll.learn(fact, nowUs)) {
      spread(fact);
    }
    final Peer peer = roll.get(packet.sender().name());
    if (peer == null) {
      turnedDown++;
      return;
    }
    if (!peer.id.equals(packet.sender()) || !peer.isAlive()) {
      onPast(peer, packet);
      return;
    }
    if (packet.seq() > peer.seq) {
      peer.seq = packet.seq();
      watch.heard(peer, nowUs);
      onBeat(peer, packet.beat(), nowUs);
      onSaid(peer, packet.said(), packet.word());
    } else {
      turnedDown++;
    }
    packet.items().forEach(item -> onItem(item, packet, nowUs));
    if (packet.kind() == Packet.Kind.PONG && packet.echo() == peer.pingSeq && peer.pingSeq > 0) {
      final long rttUs = nowUs - peer.pingUs;
      peer.rttUs = peer.rttUs == 0 ? rttUs : (7 * peer.rttUs + rttUs) / 8;
      peer.pingSeq = 0;
    }
    onMark(peer, packet.view(), nowUs);
    if (packet.kind() == Packet.Kind.PING) {
      out.send(peer.address, packet(Packet.Kind.PONG, packet.seq(), new ArrayList<>()));
    }
  }

  /**
   * From a life that is over by what is known here: if it still lives, it learns so and begins
   * again.
   */
  private void onPast(final Peer peer, final Packet packet) {
    if (packet.kind() == Packet.Kind.PING) {
      out.send(
          packet.address(),
          packet(
              Packet.Kind.PONG,
              packet.seq(),
              new ArrayList<>(List.of(new Item.Fact(peer.id, peer.address, peer.life)))));
    }
  }

  private void onBeat(final Peer peer, final long count, final long nowUs) {
    final long beforeUs = peer.passedUs;
    if (roll.beat(peer, count, nowUs)
        && (peer.doubtedUs != Peer.NEVER || !assembly.has(peer.id))
        && nowUs - beforeUs >= PASS_US) {
      peer.passedUs = nowUs;
      signs.put(peer.id.name(), new Item.Beat(peer.id, count));
    }
  }

  private void onSaid(final Peer peer, final long count, final PeerWord what) {
    if (count > peer.said) {
      peer.said = count;
      peer.word = what;
      rumours.add(new Item.Said(peer.id, count, what), 2);
    }
  }

  private void onMark(final Peer peer, final ViewMark mark, final long nowUs) {
    if (assembly.wants(mark, nowUs)) {
      if (nowUs - askUs >= ASK_US) {
        askUs = nowUs;
        out.send(
            peer.address, packet(Packet.Kind.NEWS, 0, new ArrayList<>(List.of(new Item.Ask()))));
      }
    } else if (mark.exists()
        && mark.isSameLine(assembly.mark())
        && mark.number() < assembly.mark().number()
        && nowUs - peer.decidedUs >= PUSH_US) {
      peer.decidedUs = nowUs;
      final List<Item> changes = assembly.changesFrom(mark);
      if (changes.isEmpty()) {
        out.full(peer.address, full(nowUs));
      } else {
        out.send(peer.address, packet(Packet.Kind.NEWS, 0, changes));
      }
    }
  }

  private void onItem(final Item item, final Packet packet, final long nowUs) {
    if (item instanceof Item.Fact fact) {
      if (fact.id().name().equals(self.name())) {
        onOwnName(fact.id(), fact.address(), fact.life(), nowUs);
      } else if (rival == null && roll.isPlausible(fact.id(), nowUs)) {
        passOn(fact, roll.learn(fact, nowUs));
      }
    } else if (rival != null) {
      return;
    } else if (item instanceof Item.Report report) {
      if (!report.observer().name().equals(self.name())) {
        final boolean news = roll.report(report, nowUs);
        passOn(report, news);
        final Peer doubted = roll.get(report.subject().name());
        if (news && report.sight() == Sight.SILENT && doubted.beat > 0) {
          // Whoever doubts it may have been cut off from what is known of it here.
          signs.put(doubted.id.name(), new Item.Beat(doubted.id, doubted.beat));
        }
      }
    } else if (item instanceof Item.Beat beatOf) {
      final Peer peer = roll.get(beatOf.id().name());
      if (peer != null && peer.id.equals(beatOf.id()) && peer.isAlive()) {
        onBeat(peer, beatOf.beat(), nowUs);
      }
    } else if (item instanceof Item.Said saidOf) {
      final Peer peer = roll.get(saidOf.id().name());
      if (peer != null && peer.id.equals(saidOf.id())) {
        onSaid(peer, saidOf.count(), saidOf.word());
      }
    } else if (item instanceof Item.Ask) {
      final Peer peer = roll.get(packet.sender().name());
      if (peer != null && nowUs - peer.fullUs >= PUSH_US) {
        peer.fullUs = nowUs;
        out.full(packet.address(), full(nowUs));
      }
    } else if (item instanceof Item.Decided decided) {
      if (!assembly.onDecided(decided, nowUs)) {
        rumours.met(decided);
      }
    } else if (item instanceof Item.Vote vote) {
      final Item.Vote answer = assembly.onVote(packet.sender(), vote, nowUs);
      if (answer != null) {
        out.send(packet.address(), packet(Packet.Kind.NEWS, 0, new ArrayList<>(List.of(answer))));
      }
    }
  }

  /** All that another one knows. */
  public void onFull(final Full full, final long nowUs) {
    feel(nowUs);
    if (leaving || full.sender().name().equals(self.name())) {
      return;
    }
    final Packet from =
        new Packet(
            full.sender(),
            full.address(),
            0,
            0,
            ViewMark.NONE,
            0,
            PeerWord.WELL,
            Packet.Kind.NEWS,
            0,
            List.of());
    full.items()
        .forEach(
            item -> {
              if (item instanceof Item.Fact
                  || item instanceof Item.Report
                  || item instanceof Item.Said) {
                onItem(item, from, nowUs);
              }
            });
    if (rival == null) {
      assembly.onFull(full.view(), nowUs);
    }
  }

  // ---------------------------------------------------------------- its own name

  /** Somebody says how a life of this name stands. */
  private void onOwnName(final PeerId id, final String at, final Item.Life life, final long nowUs) {
    if (id.incarnation() < self.incarnation() || !roll.isPlausible(id, nowUs)) {
      return;
    }
    if (id.incarnation() == self.incarnation()) {
      if (life != Item.Life.ALIVE || !at.equals(address)) {
        beginAgain(id.incarnation() + 1);
      }
    } else if (!belonged || life != Item.Life.ALIVE || at.equals(address)) {
      // Its own past, remembered under a clock that ran ahead of today's, or a rival that is over.
      rival = null;
      beginAgain(id.incarnation() + 1);
    } else if (rival == null) {
      rival = at;
      watch.watched().forEach(peer -> out.disconnect(peer.address));
      out.happened(
          new PeerEvent(
              PeerEvent.Kind.CONFLICT,
              self.name(),
              "another process of this name, begun later, listens at "
                  + at
                  + ": this one keeps out of the fleet"));
    }
  }

  /** In conflict: asks now and then how the other life stands, without a name. */
  private void look(final long nowUs) {
    if (nowUs < lookUs) {
      return;
    }
    lookUs = nowUs + LOOK_US;
    final List<String> targets = new ArrayList<>(seeds);
    roll.living().stream().limit(TARGETS).forEach(peer -> targets.add(peer.address));
    final List<Item> about = List.of(new Item.Fact(self, address, Item.Life.ALIVE));
    for (final String to : targets) {
      out.send(
          to,
          new Packet(
              null,
              address,
              ++seq,
              0,
              ViewMark.NONE,
              0,
              PeerWord.WELL,
              Packet.Kind.PING,
              0,
              about));
    }
  }

  private void onLook(final Packet packet) {
    for (final Item item : packet.items()) {
      if (item instanceof Item.Fact fact) {
        final Peer peer = roll.get(fact.id().name());
        if (peer != null) {
          out.send(
              packet.address(),
              packet(
                  Packet.Kind.NEWS,
                  0,
                  new ArrayList<>(List.of(new Item.Fact(peer.id, peer.address, peer.life)))));
        }
        return;
      }
    }
  }

  // ---------------------------------------------------------------- connections

  private Peer at(final String to) {
    for (final Peer peer : watch.watched()) {
      if (to.equals(peer.lifeline)) {
        return peer;
      }
    }
    return null;
  }

  /** The connection there was greeted by a life. */
  public void onGreeted(final String to, final PeerId by, final long nowUs) {
    feel(nowUs);
    final Peer peer = at(to);
    if (peer == null || leaving || rival != null || !roll.isPlausible(by, nowUs)) {
      return;
    }
    if (by.name().equals(peer.id.name()) && !by.equals(peer.id)) {
      final Item.Fact fact = new Item.Fact(by, peer.address, Item.Life.ALIVE);
      if (roll.learn(fact, nowUs)) {
        spread(fact);
      }
    }
    watch.greeted(peer, by, nowUs);
  }

  /** The connection there ended, or was refused. */
  public void onClosed(final String to, final long nowUs) {
    feel(nowUs);
    final Peer peer = at(to);
    if (peer != null && !leaving && rival == null) {
      watch.closed(peer, nowUs);
    }
  }

  /** Nobody answered there, in one way or the other. */
  public void onUnanswered(final String to, final long nowUs) {
    feel(nowUs);
    final Peer peer = at(to);
    if (peer != null && !leaving && rival == null) {
      watch.unanswered(peer, nowUs);
    }
  }

  // ---------------------------------------------------------------- its own part

  /** What is to be said of this courier. */
  public void say(final PeerWord what, final long nowUs) {
    final PeerWord next =
        new PeerWord(
            what.health(),
            Math.max(what.awayMs(), (int) Math.min(awayMs, Integer.MAX_VALUE)),
            what.holds(),
            what.stuck());
    final boolean matters =
        next.health() != word.health()
            || next.stuck() != word.stuck()
            || next.awayMs() != word.awayMs();
    if (matters && nowUs - saidUs >= SAY_US) {
      said++;
      saidUs = nowUs;
    }
    word = next;
    awayMs = 0;
  }

  /** Says farewell; nothing more is said after it. */
  public void leave(final long nowUs) {
    if (leaving) {
      return;
    }
    final List<Peer> living = new ArrayList<>(roll.living());
    final Item.Fact farewell = new Item.Fact(self, address, Item.Life.LEFT);
    for (int turn = living.size() - 1; turn > 0; turn--) {
      Collections.swap(living, turn, random.nextInt(turn + 1));
    }
    for (final Peer peer : living.subList(0, Math.min(FAREWELLS, living.size()))) {
      final Packet packet =
          new Packet(
              self,
              address,
              ++seq,
              beat,
              assembly.mark(),
              said,
              word,
              Packet.Kind.NEWS,
              0,
              List.of(farewell));
      out.send(peer.address, packet);
      out.send(peer.address, packet);
    }
    leaving = true;
  }

  /** This life of this courier. */
  public PeerId self() {
    return self;
  }

  /** The agreed view that it holds; null: none. */
  public View view() {
    return assembly.view();
  }

  /** Where it stands. */
  public Standing standing() {
    return rival != null ? Standing.CONFLICT : assembly.standing();
  }

  /** How many members of its view it hears of, itself among them. */
  public int reached() {
    return assembly.reached();
  }

  /** Datagrams that told nothing: of lives that cannot be, old or doubled ones. */
  public long turnedDown() {
    return turnedDown;
  }

  /** True for a life that is known and not known to be over. */
  public boolean isLiving(final PeerId id) {
    final Peer peer = roll.get(id.name());
    return peer != null && peer.id.equals(id) && peer.isAlive();
  }

  /** Where the others listen that are not known to be over, by name. */
  public Map<String, String> addresses() {
    final Map<String, String> addresses = new TreeMap<>();
    roll.living().forEach(peer -> addresses.put(peer.id.name(), peer.address));
    return addresses;
  }

  /** All that it knows of all others, by name. */
  public List<Known> known(final long nowUs) {
    final List<Known> all = new ArrayList<>();
    for (final Peer peer : roll.all()) {
      final PeerState state = roll.state(peer, assembly.has(peer.id), nowUs);
      final List<Known.Cell> doubts = new ArrayList<>();
      peer.doubts
          .values()
          .forEach(
              doubt ->
                  doubts.add(
                      new Known.Cell(
                          doubt.observer().name(), doubt.sight(), nowUs - doubt.sinceUs())));
      Collections.sort(doubts);
      final Peer.Doubt own = peer.doubts.get(self.name());
      all.add(
          new Known(
              peer.id,
              peer.address,
              state,
              nowUs - peer.shownUs,
              doubts,
              own != null
                  ? own.sight()
                  : peer.watched && peer.heardUs != Peer.NEVER ? Sight.HEARD : null,
              peer.rttUs,
              peer.word));
    }
    return all;
  }
}
