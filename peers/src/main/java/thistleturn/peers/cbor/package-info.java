/**
 * CBOR (RFC 8949) as couriers exchange and store it: arrays whose values are identified by their
 * positions. {@link thistleturn.peers.cbor.Cbor} writes them, and a {@link
 * thistleturn.peers.cbor.CborReader} reads them value by value. The package is independent of the
 * meaning of the values.
 */
package thistleturn.peers.cbor;
