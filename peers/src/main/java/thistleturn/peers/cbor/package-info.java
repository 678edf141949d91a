/**
 * CBOR (RFC 8949) as couriers exchange and store it: arrays whose values are known by their places.
 * {@link thistleturn.peers.cbor.Cbor} writes them, a {@link thistleturn.peers.cbor.CborReader}
 * reads them value by value. The package does not know what the values mean.
 */
package thistleturn.peers.cbor;
