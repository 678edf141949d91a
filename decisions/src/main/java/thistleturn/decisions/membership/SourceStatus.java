package thistleturn.decisions.membership;

/**
 * How a source stands. {@code lostSinceUs} and {@code doubtSinceUs} are -1 while it is heard and
 * believed; {@code entries} counts what it lists, {@code doubted} those of them that its last
 * answer lacked, and {@code dropped} what was beyond the bound.
 */
public record SourceStatus(
    String name,
    int rank,
    int entries,
    int doubted,
    long dropped,
    long heardUs,
    long lostSinceUs,
    long doubtSinceUs,
    long wholeAnswers,
    long implausibleAnswers) {}
