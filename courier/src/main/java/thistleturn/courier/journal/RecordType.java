package thistleturn.courier.journal;

/** The first byte of a record in the journal file. Stored values: they never change. */
final class RecordType {
  /** A message was accepted. */
  static final byte ACCEPTED = 1;

  /** An attempt started. */
  static final byte ATTEMPT_STARTED = 2;

  /** The attempt in flight has ended with an outcome. */
  static final byte ATTEMPT_OUTCOME = 3;

  /** A message ended, and its outcome is still to be reported. */
  static final byte FINAL_OUTCOME = 4;

  /** A message is completed: there is nothing left to do for it. */
  static final byte COMPLETED = 5;

  private RecordType() {}
}
