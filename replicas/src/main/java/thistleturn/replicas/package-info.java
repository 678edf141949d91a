/**
 * Connects the replication protocol of {@code decisions.replicas} to a courier: encodes its
 * messages as CBOR, stores its entries in the state folder, and applies merged values as
 * directives.
 */
package thistleturn.replicas;
