/**
 * Data structures that answer in logarithmic time what would otherwise take a search over all
 * messages, destinations or timers.
 *
 * <p>{@link thistleturn.decisions.index.TimeHeap} finds what is due next, {@link
 * thistleturn.decisions.index.OrderedQueue} the first, last and earliest of a range of keys, and
 * {@link thistleturn.decisions.index.Ranking} the greatest of values that change with time. Their
 * members extend an {@code Entry} class that holds their position, so that neither insertion nor
 * removal allocates. All are confined to their owner's thread and know nothing of their members but
 * these entries.
 */
package thistleturn.decisions.index;
