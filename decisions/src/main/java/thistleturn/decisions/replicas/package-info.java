/**
 * State that the whole fleet shares: what couriers were told, and what they learned. Every entry
 * has one writer, so that stores merge in any order; what counts is derived from all writers'
 * entries by the rule of their type.
 *
 * <p>{@link thistleturn.decisions.replicas.ReplicationProtocol} is the entry point. Beneath it,
 * {@link thistleturn.decisions.replicas.EntryStore} holds the entries, {@link
 * thistleturn.decisions.replicas.BroadcastQueue} spreads new ones, {@link
 * thistleturn.decisions.replicas.AntiEntropy} closes the gaps that lost messages leave, and {@link
 * thistleturn.decisions.replicas.MergeRule} decides what counts where writers differ.
 *
 * <p>The package is a pure state machine of a single owner thread. It knows no sockets, files,
 * clocks or encodings, which are the job of the module {@code replicas}. Design and guarantees:
 * docs/design/replicas.md.
 */
package thistleturn.decisions.replicas;
