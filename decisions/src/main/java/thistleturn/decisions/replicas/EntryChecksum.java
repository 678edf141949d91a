package thistleturn.decisions.replicas;

/**
 * An entry's contribution to the checksum of a store. It identifies the entry and its version, and
 * does not depend on the creation time, which differs between copies.
 */
final class EntryChecksum {
  private EntryChecksum() {}

  static long of(final Entry entry) {
    return mix(
        entry.version()
            + mix(entry.writer().stableHash() + entry.subject().hashCode() + entry.typeCode()));
  }

  /** The finalizer of SplitMix64 (Steele, Lea, Flood 2014). */
  private static long mix(final long value) {
    long bits = (value + 1) * 0x9E3779B97F4A7C15L;
    bits = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
    bits = (bits ^ (bits >>> 27)) * 0x94D049BB133111EBL;
    return bits ^ (bits >>> 31);
  }
}
