package thistleturn.decisions.replicas;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One courier's part in holding the fleet's state. It is told of the others, of what they say, of
 * words of its own, and of time by ticks; it says what to send and on which subjects something
 * changed. Times are microseconds on a clock that goes on while the process stands still.
 *
 * <p>News go to everybody at once (in large fleets to some, who pass them on); what is lost of them
 * is made up for by comparing sums with one other now and then, and by asking for what is lacking,
 * writer by writer, in bounded pieces.
 */
public final class Replicas {
  /** Bytes of a datagram's text at most. */
  public static final int MOST_DATAGRAM_BYTES = 900;

  /** Bytes of a piece at most. */
  public static final int MOST_PIECE_BYTES = 32_000;

  private static final long SECOND_US = 1_000_000;

  /**
   * News of one's own go out so often to each, a tick apart; those of others are passed on to so
   * many, once.
   */
  private static final int REPEATS = 2;

  private static final int PASSED_TO = 2;
  private static final int FANOUT = 4;
  private static final int ROUNDS = 3;

  /** Those who are asked at the same time for what is lacking. */
  private static final int ASKED = 3;

  private static final int FEW_MEMBERS = 10;

  /** Writers in a page at most, so that it is one datagram. */
  private static final int PAGE_WRITERS = 12;

  /** A question is not asked again sooner, us, unless a piece has come. */
  private static final long ASK_US = 200_000;

  private static final long FORGET_US = 60 * SECOND_US;

  /** Fresh entries of a kind at most; what is beyond that is found by comparing. */
  private static final int MOST_FRESH = 2048;

  private final ReplicaRules rules;
  private final SplittableRandom random;
  private final Out out;
  private final Copies copies;

  /**
   * What is still to go out, by the number of its kind: a word by hand never waits behind what is
   * merely good to know.
   */
  private final Map<Integer, Map<Entry, Spread>> fresh = new TreeMap<>();

  private List<String> others = List.of();
  private Writer self;
  private long version;
  private double newsAllowance;
  private double pieceAllowance;
  private long allowedUs;
  private long markUs;
  private long forgetUs;
  private long askedUs = Long.MIN_VALUE / 2;

  /** When it last compared itself with another; 0: never. */
  private long togetherUs;

  private boolean caughtUp;
  private long sent;
  private long malformed;

  /** What goes out, and what is to be read anew. */
  public interface Out {
    /** A datagram, which may be lost. */
    void send(String to, Message message);

    /** A piece, over a connection that is there; it may be lost. */
    void piece(String to, Message message);

    /** What counts on that subject may be something else now. */
    void changed(Kind kind, String subject);

    /** Something for operators, in a line. */
    void happened(String text);
  }

  /** How often a fresh entry still goes out, and to how many; below 0: to all others. */
  private static final class Spread {
    private int times;
    private final int targets;

    private Spread(final int times, final int targets) {
      this.times = times;
      this.targets = targets;
    }
  }

  /**
   * Begins.
   *
   * @param self whose words are written here: a life of this courier, no other store of which wrote
   *     anything
   * @param seed of all chance here
   */
  public Replicas(
      final ReplicaRules rules,
      final Writer self,
      final long seed,
      final long nowUs,
      final Out out) {
    this.rules = rules;
    this.self = self;
    this.random = new SplittableRandom(seed);
    this.out = out;
    this.copies = new Copies(rules);
    this.allowedUs = nowUs;
    this.markUs = nowUs;
    this.forgetUs = nowUs + FORGET_US;
    this.newsAllowance = rules.newsBytesPerS();
    this.pieceAllowance = rules.pieceBytesPerS();
  }

  // ---------------------------------------------------------------- own words

  /**
   * What an earlier life of this courier held; to be told before anything else.
   *
   * @param lastTogetherUs when it was last found equal with another, us on the present clock,
   *     perhaps before its start
   */
  public void restore(final Collection<Delta> deltas, final long lastTogetherUs, final long nowUs) {
    final Set<Changed> changed = new LinkedHashSet<>();
    deltas.forEach(delta -> copies.merge(delta, nowUs, changed));
    togetherUs = lastTogetherUs;
    tell(changed);
  }

  /**
   * An operator's word here on an endpoint: it takes the place of all words on it that are known
   * here.
   */
  public void maintain(
      final String endpoint, final boolean leaveOut, final String operator, final long nowUs) {
    final Ban ban = Ban.after(copies.words(Kind.MAINTENANCE, endpoint), self, leaveOut, operator);
    write(Kind.MAINTENANCE, endpoint, 0, ban.fields(), nowUs);
  }

  /** A destination told this courier to wait until then. */
  public void waits(final String destination, final long untilUs, final long nowUs) {
    final long lifeUs = Math.min(Kind.WAIT.mostUs(), untilUs - nowUs);
    final Entry before = copies.word(Kind.WAIT, destination, self);
    if (lifeUs > 0 && (before == null || before.endUs() < nowUs + lifeUs)) {
      write(Kind.WAIT, destination, lifeUs, List.of(), nowUs);
    }
  }

  /** This courier found a destination out, or serving again after it was out. */
  public void turned(final String destination, final boolean isOut, final long nowUs) {
    write(Kind.OUTAGE, destination, Kind.OUTAGE.mostUs(), List.of(isOut), nowUs);
  }

  /**
   * A destination told how many calls a second it takes from all couriers; told again, it is spread
   * again when half of its life is over.
   */
  public void limited(final String destination, final double perSecond, final long nowUs) {
    rate(Kind.LIMIT, destination, perSecond, nowUs);
  }

  /** This courier was refused there, and keeps to so many calls a second since. */
  public void learnt(final String destination, final double perSecond, final long nowUs) {
    rate(Kind.LEARNT, destination, perSecond, nowUs);
  }

  private void rate(
      final Kind kind, final String destination, final double perSecond, final long nowUs) {
    final Entry before = copies.word(kind, destination, self);
    if (before == null
        || before.number(0) != perSecond
        || nowUs - before.madeUs() > kind.mostUs() / 2) {
      write(kind, destination, kind.mostUs(), List.of(perSecond), nowUs);
    }
  }

  /** The version of the platform's list that this courier holds. */
  public void listed(final String source, final long seq, final long nowUs) {
    final Entry before = copies.word(Kind.LIST, source, self);
    if (before == null
        || before.whole(0) != seq
        || nowUs - before.madeUs() > Kind.LIST.mostUs() / 2) {
      write(Kind.LIST, source, Kind.LIST.mostUs(), List.of(seq), nowUs);
    }
  }

  private void write(
      final Kind kind,
      final String subject,
      final long lifeUs,
      final List<Object> fields,
      final long nowUs) {
    final Entry entry = new Entry(kind.code(), subject, self, version + 1, lifeUs, nowUs, fields);
    if (!entry.isUsable(nowUs)) {
      malformed++;
      return;
    }
    final Set<Changed> changed = new LinkedHashSet<>();
    copies.merge(new Delta(self, version, version + 1, List.of(entry)), nowUs, changed);
    version++;
    spread(
        entry,
        others.size() <= rules.direct() ? new Spread(REPEATS, -1) : new Spread(ROUNDS, FANOUT));
    tell(changed);
  }

  private void spread(final Entry entry, final Spread how) {
    final Map<Entry, Spread> alike =
        fresh.computeIfAbsent(entry.kind(), unused -> new LinkedHashMap<>());
    if (alike.size() < MOST_FRESH) {
      alike.put(entry, how);
    }
  }

  private void tell(final Set<Changed> changed) {
    for (final Changed one : changed) {
      final Kind kind = Kind.of(one.kind());
      if (kind != null) {
        out.changed(kind, one.subject());
      }
    }
  }

  // ---------------------------------------------------------------- time

  /**
   * Who can be reached now, by the addresses that {@link Out} takes; this courier is not among
   * them.
   */
  public void others(final Collection<String> reachable) {
    final List<String> next = List.copyOf(reachable);
    if (!next.equals(others)) {
      // Whoever is new may lack everything, and have everything.
      markUs = others.containsAll(next) ? markUs : Long.MIN_VALUE;
      others = next;
    }
  }

  /** To be called every {@link ReplicaRules#tickUs}. */
  public void tick(final long nowUs) {
    final double passedS = Math.max(0, Math.min(SECOND_US, nowUs - allowedUs)) / (double) SECOND_US;
    allowedUs = nowUs;
    newsAllowance =
        Math.min(rules.newsBytesPerS(), newsAllowance + passedS * rules.newsBytesPerS());
    pieceAllowance =
        Math.min(rules.pieceBytesPerS(), pieceAllowance + passedS * rules.pieceBytesPerS());
    final Set<Changed> changed = new LinkedHashSet<>();
    copies.expire(nowUs, changed);
    tell(changed);
    if (nowUs >= forgetUs) {
      forgetUs = nowUs + FORGET_US;
      copies.forget(nowUs);
    }
    if (others.isEmpty()) {
      return;
    }
    spreadNews(nowUs);
    if (nowUs >= markUs) {
      final long gapUs = rules.markUs() * Math.max(1, others.size() / FEW_MEMBERS);
      markUs = nowUs + gapUs / 2 + random.nextLong(gapUs);
      send(
          others.get(random.nextInt(others.size())), new Message.Mark(copies.sum(), copies.size()));
    }
  }

  /**
   * Fresh entries, as many as the allowance bears, in datagrams; each goes to all others, or to
   * some by lot.
   */
  private void spreadNews(final long nowUs) {
    final Map<Integer, List<Entry>> byTargets = new TreeMap<>();
    double budget = newsAllowance;
    for (final Map<Entry, Spread> alike : fresh.values()) {
      for (final Iterator<Map.Entry<Entry, Spread>> left = alike.entrySet().iterator();
          left.hasNext() && budget > 0; ) {
        final Map.Entry<Entry, Spread> one = left.next();
        final Spread how = one.getValue();
        if (one.getKey().endUs() > nowUs) {
          budget -=
              (how.targets < 0 ? others.size() : Math.min(how.targets, others.size()))
                  * (double) one.getKey().bytes();
          byTargets.computeIfAbsent(how.targets, unused -> new ArrayList<>()).add(one.getKey());
        }
        if (--how.times == 0) {
          left.remove();
        }
      }
    }
    byTargets.forEach(
        (targets, entries) -> {
          final List<String> to = targets < 0 ? others : some(targets);
          for (final Message.News news : packed(entries)) {
            to.forEach(one -> send(one, news));
          }
        });
  }

  private List<Message.News> packed(final List<Entry> entries) {
    final List<Message.News> packed = new ArrayList<>();
    List<Delta> deltas = new ArrayList<>();
    int bytes = 0;
    for (final Entry entry : entries) {
      // The version before it may be lacking there: that is found out by comparing.
      final Delta delta =
          new Delta(entry.writer(), entry.version() - 1, entry.version(), List.of(entry));
      if (bytes + delta.bytes() > MOST_DATAGRAM_BYTES && !deltas.isEmpty()) {
        packed.add(new Message.News(deltas));
        deltas = new ArrayList<>();
        bytes = 0;
      }
      deltas.add(delta);
      bytes += delta.bytes();
    }
    if (!deltas.isEmpty()) {
      packed.add(new Message.News(deltas));
    }
    return packed;
  }

  private List<String> some(final int count) {
    final List<String> left = new ArrayList<>(others);
    final List<String> drawn = new ArrayList<>();
    while (drawn.size() < count && !left.isEmpty()) {
      drawn.add(left.remove(random.nextInt(left.size())));
    }
    return drawn;
  }

  private void send(final String to, final Message message) {
    newsAllowance -= message.bytes();
    sent += message.bytes();
    out.send(to, message);
  }

  // ---------------------------------------------------------------- what comes

  /** Something came from another, who can be answered at that address. */
  public void onMessage(final String from, final Message message, final long nowUs) {
    if (togetherUs != 0 && nowUs - togetherUs > rules.apartUs()) {
      comeBack(nowUs);
    }
    if (message instanceof Message.News news) {
      final List<Entry> learnt = merge(news.deltas(), nowUs);
      for (final Entry entry : learnt) {
        spread(
            entry,
            others.size() <= rules.direct()
                ? new Spread(1, PASSED_TO)
                : new Spread(ROUNDS, FANOUT));
      }
    } else if (message instanceof Message.Mark mark) {
      if (mark.sum() != copies.sum()) {
        final boolean farBehind = mark.entries() > 2L * copies.size() + PAGE_WRITERS;
        ask(from, farBehind ? ASKED : 1, nowUs);
      } else {
        together(nowUs);
      }
    } else if (message instanceof Message.Page page) {
      onPage(from, page, nowUs);
    } else if (message instanceof Message.Piece piece) {
      merge(piece.deltas(), nowUs);
      if (piece.more()) {
        // The next piece from somebody else: serving is shared.
        final String next = others.isEmpty() ? from : others.get(random.nextInt(others.size()));
        send(next, new Message.Page(piece.part(), piece.parts(), toldUpTo(piece), false));
      } else {
        together(nowUs);
      }
    }
  }

  /**
   * It was apart from all others for so long that they may have forgotten why something was taken
   * back: what they hold counts, and of what is held here only the words that operators gave here
   * meanwhile.
   */
  private void comeBack(final long nowUs) {
    final List<Entry> own =
        copies.all().stream()
            .filter(
                entry ->
                    entry.kind() == Kind.MAINTENANCE.code()
                        && entry.writer().equals(self)
                        && entry.madeUs() > togetherUs)
            .toList();
    final Set<Changed> changed = new LinkedHashSet<>();
    copies.all().forEach(entry -> changed.add(new Changed(entry.kind(), entry.subject())));
    out.happened(
        "apart from all others for "
            + (nowUs - togetherUs) / SECOND_US
            + " s: what they hold counts");
    copies.clear();
    fresh.clear();
    togetherUs = nowUs;
    beginAnew();
    own.forEach(entry -> maintain(entry.subject(), entry.flag(0), entry.text(1), nowUs));
    tell(changed);
  }

  private void beginAnew() {
    self = new Writer(self.name(), self.birth() + 1);
    version = 0;
  }

  private void together(final long nowUs) {
    togetherUs = nowUs;
    caughtUp = true;
  }

  /**
   * Where a piece left off: what is known by now, and for whom it told something, up to there. What
   * lies behind a gap that nobody can fill any more would else be begun with again and again.
   */
  private Map<Writer, Long> toldUpTo(final Message.Piece piece) {
    final Map<Writer, Long> upTo = copies.known(piece.part(), piece.parts());
    for (final Delta delta : piece.deltas()) {
      final List<Entry> entries = delta.entries();
      upTo.merge(
          delta.writer(),
          entries.isEmpty()
              ? delta.to()
              : Math.max(delta.to(), entries.get(entries.size() - 1).version()),
          Math::max);
    }
    return upTo;
  }

  /** Says what is known here, and asks for the rest: one other, or several for a part each. */
  private void ask(final String first, final int count, final long nowUs) {
    if (nowUs - askedUs < ASK_US) {
      return;
    }
    askedUs = nowUs;
    final int writers = copies.known(0, 1).size();
    final int parts = Math.max(Math.min(count, others.size()), 1 + writers / PAGE_WRITERS);
    final List<String> asked = new ArrayList<>(List.of(first));
    some(count).stream()
        .filter(one -> !one.equals(first) && asked.size() < count)
        .forEach(asked::add);
    for (int part = 0; part < parts; part++) {
      send(
          asked.get(part % asked.size()),
          new Message.Page(part, parts, copies.known(part, parts), true));
    }
  }

  private void onPage(final String from, final Message.Page page, final long nowUs) {
    if (page.parts() < 1
        || page.parts() > 1 << 12
        || page.part() < 0
        || page.part() >= page.parts()) {
      malformed++;
      return;
    }
    checkOwn(page.known().getOrDefault(self, 0L));
    if (pieceAllowance > 0) {
      final List<Delta> deltas = new ArrayList<>();
      final boolean more =
          copies.lacking(
              page.known(),
              page.part(),
              page.parts(),
              (int) Math.min(MOST_PIECE_BYTES, pieceAllowance),
              nowUs,
              deltas);
      final Message.Piece piece = new Message.Piece(page.part(), page.parts(), deltas, more);
      final int bytes = piece.bytes();
      pieceAllowance -= bytes;
      if (bytes <= MOST_DATAGRAM_BYTES) {
        send(from, piece);
      } else {
        sent += bytes;
        out.piece(from, piece);
      }
    }
    final Map<Writer, Long> known = copies.known(page.part(), page.parts());
    final boolean lacks =
        page.known().entrySet().stream()
            .anyMatch(one -> one.getValue() > known.getOrDefault(one.getKey(), 0L));
    if (page.wantsBack() && lacks) {
      send(from, new Message.Page(page.part(), page.parts(), known, false));
    }
  }

  /**
   * Others hold more of this writer's than it wrote: somebody else wrote under its name, and that
   * is not to be mixed up.
   */
  private void checkOwn(final long theirs) {
    if (theirs > version) {
      out.happened(
          "others hold entry "
              + theirs
              + " of "
              + self
              + ", which wrote "
              + version
              + ": it begins anew");
      beginAnew();
    }
  }

  /** Takes over; tells what was new. */
  private List<Entry> merge(final List<Delta> deltas, final long nowUs) {
    final Set<Changed> changed = new LinkedHashSet<>();
    final List<Entry> learnt = new ArrayList<>();
    for (final Delta delta : deltas) {
      if (delta.writer().equals(self)) {
        checkOwn(delta.to());
        continue;
      }
      final int before = changed.size();
      copies.merge(delta, nowUs, changed);
      if (changed.size() > before) {
        learnt.addAll(delta.entries());
      }
    }
    tell(changed);
    return learnt;
  }

  // ---------------------------------------------------------------- what is known

  /** What counts on a subject. */
  public Verdict verdict(final Kind kind, final String subject) {
    return Rule.of(kind, subject, copies.words(kind, subject));
  }

  /** All words on a subject. */
  public List<Entry> words(final Kind kind, final String subject) {
    return copies.words(kind, subject);
  }

  /** All subjects of a kind. */
  public Set<String> subjects(final Kind kind) {
    return copies.subjects(kind);
  }

  /** Up to where each writer's entries are known, without a gap. */
  public Map<Writer, Long> known() {
    return copies.known(0, 1);
  }

  /**
   * Some of the entries that are held, in the order of writers and versions; what comes or goes
   * between two slices is in one of them or in none.
   *
   * @param after the last one of the slice before; null: from the first on
   * @return empty when there are no more
   */
  public List<Entry> slice(final Entry after, final int most) {
    return copies.slice(after, most);
  }

  /** All entries that are held, with their writers' marks; to be put down, or compared. */
  public List<Delta> all() {
    final Map<Writer, List<Entry>> byWriter = new TreeMap<>();
    copies
        .all()
        .forEach(
            entry ->
                byWriter.computeIfAbsent(entry.writer(), unused -> new ArrayList<>()).add(entry));
    final List<Delta> all = new ArrayList<>();
    copies
        .known(0, 1)
        .forEach(
            (writer, known) -> {
              all.add(new Delta(writer, 0, known, byWriter.getOrDefault(writer, List.of())));
              byWriter.remove(writer);
            });
    byWriter.forEach((writer, entries) -> all.add(new Delta(writer, 0, 0, entries)));
    return all;
  }

  /** Whose words are written here. */
  public Writer self() {
    return self;
  }

  /** Entries held. */
  public int size() {
    return copies.size();
  }

  /** Equal for copies that hold the same. */
  public long sum() {
    return copies.sum();
  }

  /** True once it was found equal with another, or was told all that it lacked, since it began. */
  public boolean isCaughtUp() {
    return caughtUp;
  }

  /** When it was last found equal with another, or caught up; 0: never. */
  public long togetherUs() {
    return togetherUs;
  }

  /** Bytes sent so far, about. */
  public long sentBytes() {
    return sent;
  }

  /** What was told and could not be meant, or for which there was no room. */
  public long turnedDown() {
    return copies.turnedDown() + malformed;
  }
}
