/**
 * What a courier knows of its own health, so that it blames nobody else for it: pure, told what it
 * saw and when.
 */
package thistleturn.decisions.health;
