package thistleturn.courier.http;

/** The life cycle of a client connection. */
enum ConnectionPhase {
  /** Requests are read and served. */
  OPEN,
  /** Nothing more is read; the final status follows the responses that are still due. */
  FINISHING,
  /** The last response is written; input is discarded until the connection closes. */
  CLOSING
}
