/**
 * What couriers are told and have learnt, held by the whole fleet: copies that catch up by what
 * they lack, and rules for where they differ. Every entry has one writer, so that copies merge in
 * any order; what counts is read from all writers' entries by the rule of the kind. Pure. Design
 * and promises: docs/design/replicas.md.
 */
package thistleturn.decisions.replicas;
