/** Plain senders that the courier is compared with. */
package thistleturn.lab.policy;
