/** Partners: how long they serve, what they take, what goes wrong there. */
package thistleturn.lab.model;
