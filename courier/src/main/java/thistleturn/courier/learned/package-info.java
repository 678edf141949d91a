/**
 * The learned state outlives the process in a small file beside the journal, one for each shard. It
 * is captured on the event loop, written on a thread of its own ({@link
 * thistleturn.courier.learned.LearnedStateWriter}) and trusted by the next process for a minute
 * ({@link thistleturn.courier.learned.LearnedStateFile}). The package does not know what the state
 * means; its lines are those of {@code courier.handover}.
 */
package thistleturn.courier.learned;
