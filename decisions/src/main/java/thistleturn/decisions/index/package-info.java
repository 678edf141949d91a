/**
 * Data structures with logarithmic-time queries that avoid a linear search over all messages,
 * destinations or timers.
 *
 * <p>{@link thistleturn.decisions.index.TimeHeap} finds the entry that is due next, {@link
 * thistleturn.decisions.index.OrderedQueue} the first, last and earliest member of a range of keys,
 * and {@link thistleturn.decisions.index.Ranking} the entry with the greatest value where values
 * change with time. Their members extend an {@code Entry} class that holds their position, so that
 * neither insertion nor removal allocates. All are confined to their owner's thread.
 */
package thistleturn.decisions.index;
