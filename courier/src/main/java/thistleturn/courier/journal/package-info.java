/**
 * The journal: the {@link thistleturn.courier.port.MessageStore} of a courier, a file in the folder
 * that outlasts the process.
 *
 * <p>{@link thistleturn.courier.journal.Journal} is the entry point. It collects records in a
 * {@code RecordBuffer}, appends them in batches to a {@code JournalFile}, and reads them back with
 * a {@code RecordReader} at the next start. All of it runs on the thread of the event loop that
 * owns the journal. The package does not depend on the decision loop or the network.
 */
package thistleturn.courier.journal;
