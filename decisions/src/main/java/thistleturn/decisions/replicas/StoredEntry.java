package thistleturn.decisions.replicas;

import thistleturn.decisions.index.TimeHeap;

/** An entry in the store, scheduled in the heap of expirations. */
final class StoredEntry extends TimeHeap.Entry {
  private final EntryKey key;
  private final Entry entry;

  StoredEntry(final EntryKey key, final Entry entry) {
    this.key = key;
    this.entry = entry;
  }

  EntryKey key() {
    return key;
  }

  Entry entry() {
    return entry;
  }
}
