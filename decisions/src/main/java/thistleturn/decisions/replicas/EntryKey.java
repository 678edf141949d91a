package thistleturn.decisions.replicas;

/** The type and subject of an entry; each writer has at most one entry for a key. */
record EntryKey(int typeCode, String subject) {
  static EntryKey of(final Entry entry) {
    return new EntryKey(entry.typeCode(), entry.subject());
  }

  static EntryKey of(final EntryType type, final String subject) {
    return new EntryKey(type.code(), subject);
  }

  /** Returns the notification that entries for this key changed. */
  SubjectChanged changed() {
    return new SubjectChanged(typeCode, subject);
  }
}
