package thistleturn.decisions.index;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A set of ids that forgets each one some time after it was last added, and the earliest ones first
 * beyond a number. Times must not decrease.
 */
public final class RecentIds {
  private final long retentionUs;
  private final int maxIds;

  /** When each id was last added; the earliest one is first. */
  private final Map<String, Long> addedUs = new LinkedHashMap<>();

  /**
   * Creates an empty set.
   *
   * @param retentionUs how long an id is kept
   * @param maxIds how many ids are kept
   */
  public RecentIds(final long retentionUs, final int maxIds) {
    this.retentionUs = retentionUs;
    this.maxIds = maxIds;
  }

  /** Adds an id, or keeps it from now on for as long as a new one. */
  public void add(final String id, final long nowUs) {
    addedUs.remove(id);
    addedUs.put(id, nowUs);
    final Iterator<Long> earliestFirst = addedUs.values().iterator();
    while (isExpired(earliestFirst.next(), nowUs) || addedUs.size() > maxIds) {
      earliestFirst.remove();
    }
  }

  /** Returns whether an id was added and is not forgotten. */
  public boolean contains(final String id, final long nowUs) {
    final Long atUs = addedUs.get(id);
    return atUs != null && !isExpired(atUs, nowUs);
  }

  /** The number of ids that are kept, some of which may have expired. */
  public int size() {
    return addedUs.size();
  }

  private boolean isExpired(final long atUs, final long nowUs) {
    return nowUs - atUs >= retentionUs;
  }
}
