package thistleturn.decisions;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import thistleturn.decisions.index.TimeHeap;

/**
 * The rule on order: messages of one key go one behind the other, each after the rest that an open
 * attempt asks for.
 */
final class Turns {
  private final State state;
  private final Map<String, KeyLine> keys = new HashMap<>();
  private final Set<KeyLine> emptyLines = new LinkedHashSet<>();
  private final TimeHeap<KeyLine> rests = new TimeHeap<>();

  Turns(final State state) {
    this.state = state;
  }

  /** A message is the last of its key, if its class goes in turn. */
  void join(final Job job) {
    if (job.kind.inTurn() && job.message.key() != null) {
      job.line = keys.computeIfAbsent(job.message.key(), KeyLine::new);
      job.line.jobs.add(job);
    }
  }

  /** A message is over: the next of its key has its turn. */
  void over(final Job job) {
    if (job.line != null) {
      job.line.jobs.remove(job);
      refile(job.line);
      if (job.line.jobs.isEmpty()) {
        emptyLines.add(job.line);
      }
    }
  }

  /** An attempt may still run: its key rests. */
  void rest(final Job job) {
    if (job.line != null) {
      job.line.restUntilUs = state.nowUs + state.settings.guarantees().orderSettleUs();
    }
  }

  /** When the first key has rested; never, if none rests. */
  long firstUs() {
    return rests.earliestDueUs();
  }

  /** Takes up what has rested. */
  void wake() {
    for (KeyLine rested = rests.poll(state.nowUs);
        rested != null;
        rested = rests.poll(state.nowUs)) {
      refile(rested);
    }
  }

  /** Forgets keys without messages that need no rest any more. */
  void forget() {
    emptyLines.removeIf(
        line ->
            !line.jobs.isEmpty()
                || (line.restUntilUs <= state.nowUs && keys.remove(line.key, line)));
  }

  /**
   * Rule on order: the first of its key goes, and only after the rest that an open attempt asks
   * for.
   */
  boolean inTurn(final Job job) {
    return job.line == null
        || (job.line.first() == job && (job.mayHaveRun || job.line.restUntilUs <= state.nowUs));
  }

  /** The first of a key may go now, or must wait again, or is another one. */
  void refile(final KeyLine line) {
    final Job first = line == null ? null : line.first();
    if (first != null && first.waiting) {
      if (first.group.blocked == inTurn(first)) {
        state.touch(first.destination);
        first.destination.unfile(first);
        first.destination.file(first, !inTurn(first));
        state.againUs = state.nowUs;
      }
      rests.schedule(line, first.group.blocked ? line.restUntilUs : Control.NEVER);
    }
  }
}
