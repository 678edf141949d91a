/** Simple sending policies that serve as a baseline for the courier. */
package thistleturn.lab.policy;
