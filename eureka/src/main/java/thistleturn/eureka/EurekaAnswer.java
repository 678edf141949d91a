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
 * One response of a registry, parsed as its bytes arrive. The instances of earlier responses are
 * kept in a {@link Memory}: an instance whose text has not changed is recognized by its digest and
 * not parsed again.
 */
public final class EurekaAnswer {
  private static final String DELETED = "DELETED";
  private static final long NO_DIGEST = 0;
  private static final int NO_LENGTH = 0;

  private final EurekaMapping mapping;
  private final Instances previous;
  private final boolean isDelta;
  private final AnswerSplitter splitter = new AnswerSplitter(new PartHandler());
  private final InstanceParser instanceParser;
  private final FrameParser frameParser;
  private final Instances current;

  /** The instances of a delta, in order; stays empty for a complete response. */
  private final List<EurekaInstance> changes = new ArrayList<>();

  private final Map<String, SourceReport> reports = new LinkedHashMap<>();
  private final Set<String> deleted = new LinkedHashSet<>();

  /** Reports of instances whose text has not changed. */
  private final List<SourceReport> unchanged = new ArrayList<>();

  /** The position among the previous instances of the one that is expected next. */
  private int expected;

  private long parsedInstances;

  /** The instances that a registry has, kept from one response to the next. */
  public static final class Memory {
    private Instances instances = new Instances();

    /** The number of instances, usable or not. */
    public int count() {
      return instances.count();
    }
  }

  /** A response, complete or a delta, of the registry whose instances are in the memory. */
  public EurekaAnswer(
      final MetadataNames names,
      final EurekaMapping mapping,
      final Memory memory,
      final boolean delta)
      throws IOException {
    this.mapping = mapping;
    this.previous = memory.instances;
    this.isDelta = delta;
    this.current = delta ? memory.instances : new Instances();
    this.instanceParser = new InstanceParser(names);
    this.frameParser = new FrameParser();
  }

  /** Parses the next piece. */
  public void feed(final ByteBuf bytes) throws IOException {
    splitter.feed(bytes);
  }

  /**
   * Ends the response.
   *
   * @throws IOException if it is incomplete
   */
  public void end() throws IOException {
    splitter.end();
    frameParser.end();
  }

  /** Updates the memory; returns whether its content then matches the hash in the response. */
  public boolean remember(final Memory memory) {
    if (isDelta) {
      for (final EurekaInstance change : changes) {
        // The text in a delta differs from that in a complete response: it gets no digest.
        current.find(change.key());
        if (change.action().equals(DELETED)) {
          current.remove(change.key());
        } else {
          current.put(
              change.key(), change.status(), reports.get(change.key()), NO_DIGEST, NO_LENGTH);
        }
      }
    } else {
      current.trim();
    }
    memory.instances = current;
    // Without a hash a complete response is trusted, but a delta cannot be verified.
    return frameParser.hash().equals(current.hash()) || (frameParser.hash().isEmpty() && !isDelta);
  }

  /** The reports of usable instances. */
  public List<SourceReport> reports() {
    final List<SourceReport> all = new ArrayList<>(unchanged.size() + reports.size());
    all.addAll(unchanged);
    all.addAll(reports.values());
    return all;
  }

  /** The keys of instances that the registry deleted, or that are unusable. */
  public Set<String> deleted() {
    return deleted;
  }

  /** The number of instances that were parsed because their digest was not known. */
  public long parsedInstances() {
    return parsedInstances;
  }

  private void add(final EurekaInstance instance, final long digest, final int length) {
    parsedInstances++;
    final String key = instance.key();
    final SourceReport report =
        instance.action().equals(DELETED) && isDelta ? null : mapping.report(instance);
    if (report == null) {
      // It may have been usable earlier in this response.
      deleted.add(key);
      reports.remove(key);
    } else {
      deleted.remove(key);
      reports.put(key, report);
    }
    if (isDelta) {
      changes.add(instance);
      return;
    }
    current.put(key, instance.status(), report, digest, length);
    if (previous.positions() > 0) {
      expected = previous.find(key) + 1;
    }
  }

  private final class PartHandler implements AnswerSplitter.Handler {
    @Override
    public int expectedLength() {
      return isDelta ? NO_LENGTH : previous.length(expected);
    }

    @Override
    public boolean acceptExpected(final byte[] bytes, final int from, final int length) {
      final long digest = AnswerSplitter.digest(bytes, from, length);
      if (digest != previous.digest(expected) || previous.isRemoved(expected)) {
        return false;
      }
      final String key = previous.key(expected);
      final SourceReport report = previous.report(expected);
      current.put(key, previous.status(expected), report, digest, length);
      if (report == null) {
        deleted.add(key);
      } else {
        unchanged.add(report);
      }
      expected++;
      return true;
    }

    @Override
    public void onInstance(final byte[] bytes, final int from, final int length)
        throws IOException {
      add(
          instanceParser.parse(bytes, from, length),
          isDelta ? NO_DIGEST : AnswerSplitter.digest(bytes, from, length),
          length);
    }

    @Override
    public void onFrame(final byte[] bytes, final int from, final int length) throws IOException {
      frameParser.feed(bytes, from, length);
    }
  }
}
