/**
 * State that the whole fleet shares: operators' decisions on endpoints, and what couriers learned
 * of destinations. Every entry has one writer, so that stores can be merged in any order; the
 * merged value is derived from all writers' entries by the merge rule of their type.
 *
 * <p>{@link thistleturn.decisions.replicas.ReplicationProtocol} is the entry point. It uses these
 * classes: {@link thistleturn.decisions.replicas.EntryStore} stores the entries, {@link
 * thistleturn.decisions.replicas.BroadcastQueue} broadcasts new ones, {@link
 * thistleturn.decisions.replicas.AntiEntropy} recovers entries that were lost in transit, and
 * {@link thistleturn.decisions.replicas.MergeRule} derives the merged value where writers differ.
 *
 * <p>The package is a pure state machine, confined to one thread. It has no sockets, files, clocks
 * or encodings, which are in the module {@code replicas}. Design and guarantees:
 * docs/design/replicas.md.
 */
package thistleturn.decisions.replicas;
