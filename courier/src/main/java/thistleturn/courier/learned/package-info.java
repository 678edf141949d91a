/**
 * Keeps the learned state beyond the end of the process, in a small file beside the journal for
 * each shard. The state is captured on the event loop, written on a thread of its own ({@link
 * thistleturn.courier.learned.LearnedStateWriter}) and used by the next process if it is at most a
 * minute old ({@link thistleturn.courier.learned.LearnedStateFile}). The package does not know what
 * the state means; its lines are those of {@code courier.handover}.
 */
package thistleturn.courier.learned;
