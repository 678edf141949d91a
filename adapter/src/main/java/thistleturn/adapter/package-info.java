/**
 * Runs couriers' decisions inside a simulator, over lines of text on standard input and output.
 *
 * <p>{@link thistleturn.adapter.SimulatorAdapter} reads batches of events and passes each event to
 * its instance; {@link thistleturn.adapter.EventParser} translates events into the types of the
 * decisions, and {@link thistleturn.adapter.ActionWriter} actions into lines. The package decides
 * nothing itself, and everything in it runs on one thread.
 */
package thistleturn.adapter;
