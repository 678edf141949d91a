package thistleturn.courier.http;

/**
 * Whether the selector reports the readiness of a connection. Java does not report that the
 * operating system refused to watch a descriptor, so a connection that the selector never reports
 * is read directly once.
 */
enum SelectorWatch {
  /** Nothing is known yet. */
  UNVERIFIED,
  /** The connection is being read without having been reported as ready. */
  READING_DIRECTLY,
  /** A direct read found nothing that the selector had not reported. */
  VERIFIED,
  /** A direct read found bytes that the selector had not reported. */
  UNWATCHED;

  /** The state during a direct read. */
  SelectorWatch beginDirectRead() {
    return this == UNWATCHED ? UNWATCHED : READING_DIRECTLY;
  }

  /** The state after a direct read, in which {@link #UNWATCHED} was entered if it found bytes. */
  SelectorWatch endDirectRead() {
    return this == READING_DIRECTLY ? VERIFIED : this;
  }
}
