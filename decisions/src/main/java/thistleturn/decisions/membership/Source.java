package thistleturn.decisions.membership;

import java.util.HashMap;
import java.util.Map;

/** One source: what it lists, and how far that can be believed now. */
final class Source {
  static final long NOT = -1;

  final String name;
  final int rank;

  /** True if whatever its whole answers lack is gone: a source that is never wrong about that. */
  final boolean absenceIsWord;

  final Map<String, Entry> entries = new HashMap<>();
  private long heardUs;
  private long lostSinceUs;
  private long doubtSinceUs = NOT;
  private int peak;
  private long peakUs;
  private long dropped;
  private long wholeAnswers;
  private long implausibleAnswers;

  Source(final String name, final int rank, final boolean absenceIsWord, final long nowUs) {
    this.name = name;
    this.rank = rank;
    this.absenceIsWord = absenceIsWord;
    this.lostSinceUs = nowUs;
  }

  /** An instance as this source lists it. */
  static final class Entry {
    final Source source;
    final Point point;
    Report report;

    /** The next entry at the same point, in the order of their coming; null for the last. */
    Entry next;

    /** Since when answers lack it that are not plausible; {@link #NOT} while they have it. */
    long absentSinceUs = NOT;

    /** When it last said something cautious; {@link #NOT} if it never did. */
    long warnedUs = NOT;

    /**
     * Its warning outlived its source's silence and another source's word counted; until it is said
     * again.
     */
    boolean overruled;

    Entry(final Source source, final Point point, final Report report) {
      this.source = source;
      this.point = point;
      this.report = report;
    }

    /**
     * Since when its source has not said it, being lost or lacking it in its answers; {@link #NOT}
     * if it does.
     */
    long silentSinceUs() {
      if (!source.isLost() || absentSinceUs == NOT) {
        return source.isLost() ? source.lostSinceUs : absentSinceUs;
      }
      return Math.min(source.lostSinceUs, absentSinceUs);
    }
  }

  void heard(final long nowUs) {
    heardUs = nowUs;
    lostSinceUs = NOT;
  }

  /** True if it was heard until now. */
  boolean lose(final long nowUs) {
    if (lostSinceUs != NOT) {
      return false;
    }
    lostSinceUs = nowUs;
    return true;
  }

  boolean isLost() {
    return lostSinceUs != NOT;
  }

  long lostSinceUs() {
    return lostSinceUs;
  }

  long heardUs() {
    return heardUs;
  }

  /**
   * Judges a whole answer with so many instances; false if what it lacks is not to be believed
   * gone.
   */
  boolean isPlausible(final long nowUs, final int count, final Rules rules) {
    wholeAnswers++;
    if (nowUs - peakUs > rules.doubtUs()) {
      peak = entries.size();
      peakUs = nowUs;
    }
    final int known = Math.max(peak, entries.size());
    final boolean plausible =
        absenceIsWord || known == 0 || (count > 0 && known - count <= rules.mayLack(known));
    if (plausible) {
      doubtSinceUs = NOT;
      if (count >= peak) {
        peak = count;
        peakUs = nowUs;
      }
    } else {
      implausibleAnswers++;
      doubtSinceUs = doubtSinceUs == NOT ? nowUs : doubtSinceUs;
    }
    return plausible;
  }

  void drop() {
    dropped++;
  }

  SourceStatus status() {
    final int doubted =
        (int) entries.values().stream().filter(entry -> entry.absentSinceUs != NOT).count();
    return new SourceStatus(
        name,
        rank,
        entries.size(),
        doubted,
        dropped,
        heardUs,
        lostSinceUs,
        doubtSinceUs,
        wholeAnswers,
        implausibleAnswers);
  }
}
