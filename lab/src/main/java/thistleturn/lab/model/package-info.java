/** Models of destinations: service time, limits, faults and outages. */
package thistleturn.lab.model;
