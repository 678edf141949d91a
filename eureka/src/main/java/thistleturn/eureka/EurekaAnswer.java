package thistleturn.eureka;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thistleturn.decisions.membership.SourceReport;

/**
 * One answer of a registry, read as it comes, on the ground of what the registry told before: an
 * instance whose text is the same as last time is known by its digest and not read again.
 */
public final class EurekaAnswer {
  private final EurekaMapping mapping;
  private final Instances before;
  private final boolean delta;
  private final AnswerSplitter splitter = new AnswerSplitter(new Parts());
  private final InstanceParser instances;
  private final FrameParser frame;
  private final Instances after;

  /** Of a delta: what is put in, and what goes. */
  private final List<EurekaInstance> changes = new ArrayList<>();

  private final Map<String, SourceReport> reports = new LinkedHashMap<>();
  private final Set<String> deleted = new LinkedHashSet<>();
  private final List<SourceReport> known = new ArrayList<>();
  private int expected;
  private long readAnew;

  /** What a registry has told so far, to be handed from one answer to the next. */
  public static final class Memory {
    private Instances instances = new Instances();

    /** How many instances it has, usable or not. */
    public int count() {
      return instances.count();
    }
  }

  /** An answer with everything, or a delta, to a registry of which this is remembered. */
  public EurekaAnswer(
      final MetadataNames names,
      final EurekaMapping mapping,
      final Memory memory,
      final boolean delta)
      throws IOException {
    this.mapping = mapping;
    this.before = memory.instances;
    this.delta = delta;
    this.after = delta ? memory.instances : new Instances();
    this.instances = new InstanceParser(names);
    this.frame = new FrameParser();
  }

  /** Some more of its text. */
  public void feed(final ByteBuf bytes) throws IOException {
    splitter.feed(bytes);
  }

  /** Its text has ended; an error if it is not whole. */
  public void end() throws IOException {
    splitter.end();
    frame.end();
  }

  /** All of it goes into the memory; true if the hash that it told fits what is remembered then. */
  public boolean remember(final Memory memory) {
    if (delta) {
      for (final EurekaInstance change : changes) {
        // A text that came in a delta is not the one that a whole answer has.
        after.find(change.key());
        if (change.action().equals("DELETED")) {
          after.remove(change.key());
        } else {
          after.put(change.key(), change.status(), reports.get(change.key()), 0, 0);
        }
      }
    } else {
      after.trim();
    }
    memory.instances = after;
    // An answer without a hash cannot be checked; a whole one is as good as its word.
    return frame.hash().equals(after.hash()) || (frame.hash().isEmpty() && !delta);
  }

  /** Instances that are of use, with their state. */
  public List<SourceReport> reports() {
    final List<SourceReport> all = new ArrayList<>(known.size() + reports.size());
    all.addAll(known);
    all.addAll(reports.values());
    return all;
  }

  /** Instances that the registry deleted, or that are of no use. */
  public Set<String> deleted() {
    return deleted;
  }

  /** How many instances were read, and not known by their digest. */
  public long readAnew() {
    return readAnew;
  }

  private void take(final EurekaInstance instance, final long digest, final int length) {
    readAnew++;
    final String key = instance.key();
    final SourceReport report =
        instance.action().equals("DELETED") && delta ? null : mapping.report(instance);
    if (report == null) {
      // It may have been of use before.
      deleted.add(key);
      reports.remove(key);
    } else {
      deleted.remove(key);
      reports.put(key, report);
    }
    if (delta) {
      changes.add(instance);
      return;
    }
    after.put(key, instance.status(), report, digest, length);
    if (before.places() > 0) {
      expected = before.find(key) + 1;
    }
  }

  private final class Parts implements AnswerSplitter.Reader {
    @Override
    public int expectedLength() {
      return delta ? 0 : before.length(expected);
    }

    @Override
    public boolean isExpected(final byte[] bytes, final int from, final int length) {
      if (AnswerSplitter.digest(bytes, from, length) != before.digest(expected)
          || !before.isThere(expected)) {
        return false;
      }
      final SourceReport report = before.report(expected);
      after.put(
          before.key(expected), before.state(expected), report, before.digest(expected), length);
      if (report == null) {
        deleted.add(before.key(expected));
      } else {
        known.add(report);
      }
      expected++;
      return true;
    }

    @Override
    public void instance(final byte[] bytes, final int from, final int length) throws IOException {
      take(
          instances.parse(bytes, from, length),
          delta ? 0 : AnswerSplitter.digest(bytes, from, length),
          length);
    }

    @Override
    public void frame(final byte[] bytes, final int from, final int length) throws IOException {
      frame.feed(bytes, from, length);
    }
  }
}
