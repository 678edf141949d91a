/**
 * What was learnt outlives the process: a small file beside the journal, written away from the
 * loop, trusted for a minute.
 */
package thistleturn.courier.learned;
