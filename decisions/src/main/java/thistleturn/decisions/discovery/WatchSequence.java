package thistleturn.decisions.discovery;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which lines of one watch on the endpoint list are applied. Versions rise along a watch,
 * so a line of a lower version is either one that came before and comes again, or the version that
 * this courier knows is not one of this service.
 */
public final class WatchSequence {
  /** Stands for a version that is not known, or that a line does not have. */
  public static final long UNKNOWN = -1;

  /** How many of the latest lines are remembered. */
  private static final int MAX_REMEMBERED_LINES = 64;

  private final Map<Integer, Long> versionsByHash = new LinkedHashMap<>();
  private long version;
  private boolean first = true;

  /** What to do with a line. */
  public enum Decision {
    /** Apply it. */
    APPLY,
    /** Ignore it: it was applied before, and later lines have replaced it. */
    IGNORE,
    /** Neither apply nor ignore it, but request the complete list. */
    REQUEST_COMPLETE_LIST
  }

  /** Creates the sequence of a watch that was requested after a version. */
  public WatchSequence(final long requestedAfter) {
    version = requestedAfter;
  }

  /**
   * Decides on the next line.
   *
   * @param lineVersion its version, or {@link #UNKNOWN}
   * @param complete whether it has the complete list
   */
  public Decision onLine(final String line, final long lineVersion, final boolean complete) {
    final boolean wasFirst = first;
    first = false;
    if (lineVersion == UNKNOWN) {
      return Decision.APPLY;
    }
    final Long earlier = versionsByHash.get(line.hashCode());
    if (earlier != null && earlier == lineVersion) {
      return Decision.IGNORE;
    }
    // A service that started anew counts from the beginning, and says all that it knows.
    if (lineVersion < version && !(wasFirst && complete)) {
      return Decision.REQUEST_COMPLETE_LIST;
    }
    remember(line, lineVersion);
    return Decision.APPLY;
  }

  private void remember(final String line, final long lineVersion) {
    version = lineVersion;
    versionsByHash.put(line.hashCode(), lineVersion);
    if (versionsByHash.size() > MAX_REMEMBERED_LINES) {
      versionsByHash.remove(versionsByHash.keySet().iterator().next());
    }
  }
}
