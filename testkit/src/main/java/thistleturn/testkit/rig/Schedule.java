package thistleturn.testkit.rig;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * Faults with their times, for real and for simulated processes. As text, one a line:
 *
 * <pre>
 * members 10          seed 7          end 30s
 * at 0s loss 0.05
 * at 5s kill 3
 * at 8s start 3
 * at 6s pause 1,2 for 4s
 * at 9s cut 0 -&gt; 4 for 5s            (one way)
 * at 9s cut 0,1 &lt;-&gt; 2,3,4 for 5s     (both ways)
 * at 9s break 0 &lt;-&gt; 4
 * </pre>
 *
 * @param members the number of couriers at the start
 * @param seed the seed of all random choices
 * @param endMs when it ends, ms
 * @param faults in the order of their times
 */
public record Schedule(int members, long seed, long endMs, List<Fault> faults) {
  private static final Pattern HEAD = Pattern.compile("(members|seed|end) (\\d+)(ms|s)?");
  private static final Pattern LINE =
      Pattern.compile(
          "at (\\d+)(ms|s) ([a-z]+) ([0-9.,]+)(?: (->|<->) ([0-9,]+))?(?: for (\\d+)(ms|s))?");

  /** Sorts the faults by time. */
  public Schedule {
    faults = faults.stream().sorted(Comparator.comparingLong(Fault::atMs)).toList();
  }

  /**
   * Parses a schedule.
   *
   * @throws IllegalArgumentException with one line that names the line and what was expected
   */
  public static Schedule parse(final String text) {
    int members = 0;
    long seed = 0;
    long endMs = 0;
    final List<Fault> faults = new ArrayList<>();
    for (final String raw : text.lines().toList()) {
      final String line = raw.replaceAll("#.*", "").strip().replaceAll("\\s+", " ");
      if (line.isEmpty()) {
        continue;
      }
      final Matcher head = HEAD.matcher(line);
      if (head.matches()) {
        final long value = Long.parseLong(head.group(2));
        switch (head.group(1)) {
          case "members" -> members = Math.toIntExact(value);
          case "seed" -> seed = value;
          default -> endMs = ms(head.group(2), head.group(3));
        }
        continue;
      }
      final Matcher matcher = LINE.matcher(line);
      if (!matcher.matches()) {
        throw new IllegalArgumentException(
            "schedule: \""
                + line
                + "\": expected members N, seed N, end T, or "
                + "at T KIND WHO [->|<-> WHO] [for T]");
      }
      parseFault(line, matcher, faults);
    }
    if (members < 1 || endMs < 1) {
      throw new IllegalArgumentException("schedule: expected members and end");
    }
    return new Schedule(members, seed, endMs, faults);
  }

  private static void parseFault(
      final String line, final Matcher matcher, final List<Fault> faults) {
    final Fault.Kind kind;
    try {
      kind = Fault.Kind.valueOf(matcher.group(3).toUpperCase(Locale.ROOT));
    } catch (final IllegalArgumentException e) {
      throw new IllegalArgumentException(
          "schedule: \"" + line + "\": expected a kind of fault, such as kill", e);
    }
    final long atMs = ms(matcher.group(1), matcher.group(2));
    final long forMs = matcher.group(7) == null ? 0 : ms(matcher.group(7), matcher.group(8));
    final boolean share =
        kind == Fault.Kind.LOSS || kind == Fault.Kind.DOUBLE || kind == Fault.Kind.DELAY;
    final List<Integer> one = share ? List.of() : numbers(matcher.group(4));
    final List<Integer> other = matcher.group(6) == null ? List.of() : numbers(matcher.group(6));
    final double value =
        share ? Double.parseDouble(matcher.group(4)) : kind == Fault.Kind.STARVE ? 0.05 : 0;
    if ((kind == Fault.Kind.CUT || kind == Fault.Kind.BREAK) == other.isEmpty()) {
      throw new IllegalArgumentException(
          "schedule: \"" + line + "\": expected WHO -> WHO for cut and break, and for them alone");
    }
    faults.add(new Fault(atMs, forMs, kind, one, other, value));
    if ("<->".equals(matcher.group(5)) && kind == Fault.Kind.CUT) {
      faults.add(new Fault(atMs, forMs, kind, other, one, value));
    }
  }

  private static long ms(final String number, final String unit) {
    return Long.parseLong(number) * ("s".equals(unit) ? 1000 : 1);
  }

  private static List<Integer> numbers(final String text) {
    return Arrays.stream(text.split(",")).map(Integer::valueOf).toList();
  }

  /** Returns the text from which the same schedule is parsed. */
  public String text() {
    final StringBuilder text =
        new StringBuilder("members " + members + "\nseed " + seed + "\nend " + endMs + "ms\n");
    for (final Fault fault : faults) {
      final boolean share = fault.targets().isEmpty();
      text.append("at ")
          .append(fault.atMs())
          .append("ms ")
          .append(fault.kind().name().toLowerCase(Locale.ROOT))
          .append(' ')
          .append(share ? Double.toString(fault.value()) : joinNumbers(fault.targets()));
      if (!fault.others().isEmpty()) {
        text.append(" -> ").append(joinNumbers(fault.others()));
      }
      text.append(fault.forMs() == 0 ? "\n" : " for " + fault.forMs() + "ms\n");
    }
    return text.toString();
  }

  private static String joinNumbers(final List<Integer> numbers) {
    return String.join(",", numbers.stream().map(String::valueOf).toList());
  }

  /** The kinds of faults that a random schedule may contain. */
  public record FaultMix(
      double loss,
      boolean kills,
      boolean restarts,
      long maxPauseMs,
      boolean oneWayCuts,
      boolean partitions,
      boolean starvation,
      boolean connectionResets) {
    /** Kills and restarts only, with that loss. */
    public static FaultMix killsOnly(final double loss) {
      return new FaultMix(loss, true, true, 0, false, false, false, false);
    }

    /** All kinds of faults. */
    public static FaultMix all(final double loss, final long maxPauseMs) {
      return new FaultMix(loss, true, true, maxPauseMs, true, true, true, true);
    }
  }

  /**
   * Returns a random schedule: a fault every few seconds, possibly overlapping, and a quiet period
   * at its end.
   */
  public static Schedule random(
      final long seed, final int members, final long endMs, final FaultMix mix) {
    final Random random = new Random(seed);
    final List<Fault> faults = new ArrayList<>();
    if (mix.loss() > 0) {
      faults.add(new Fault(0, 0, Fault.Kind.LOSS, List.of(), List.of(), mix.loss()));
    }
    final List<Fault.Kind> kinds = new ArrayList<>();
    if (mix.kills()) {
      kinds.add(Fault.Kind.KILL);
    }
    if (mix.maxPauseMs() > 0) {
      kinds.add(Fault.Kind.PAUSE);
    }
    if (mix.oneWayCuts() || mix.partitions()) {
      kinds.add(Fault.Kind.CUT);
    }
    if (mix.starvation()) {
      kinds.add(Fault.Kind.STARVE);
    }
    if (mix.connectionResets()) {
      kinds.add(Fault.Kind.BREAK);
    }
    final List<Integer> running = new ArrayList<>(IntStream.range(0, members).boxed().toList());
    final long quietMs = 12_000;
    long atMs = 5000;
    while (atMs < endMs - quietMs && !kinds.isEmpty()) {
      addRandomFault(
          faults,
          kinds.get(random.nextInt(kinds.size())),
          atMs,
          endMs - quietMs,
          running,
          members,
          mix,
          random);
      atMs += 1500 + random.nextInt(5000);
    }
    return new Schedule(members, seed, endMs, faults);
  }

  private static void addRandomFault(
      final List<Fault> faults,
      final Fault.Kind kind,
      final long atMs,
      final long quietFromMs,
      final List<Integer> running,
      final int members,
      final FaultMix mix,
      final Random random) {
    final int target = running.get(random.nextInt(running.size()));
    int peer = random.nextInt(members);
    peer = peer == target ? (peer + 1) % members : peer;
    final long maxMs = Math.max(1, quietFromMs - atMs);
    switch (kind) {
      case KILL -> {
        // A majority runs at any time, so that it can agree on the ends of the others.
        if (running.size() > members / 2 + 1) {
          faults.add(new Fault(atMs, 0, kind, List.of(target), List.of(), 0));
          if (mix.restarts() && random.nextBoolean()) {
            faults.add(
                new Fault(
                    atMs + 200 + random.nextInt(6000),
                    0,
                    Fault.Kind.START,
                    List.of(target),
                    List.of(),
                    0));
          }
          running.remove(Integer.valueOf(target));
        }
      }
      case PAUSE ->
          faults.add(
              new Fault(
                  atMs,
                  Math.min(maxMs, 200 + (long) (random.nextDouble() * (mix.maxPauseMs() - 200))),
                  kind,
                  randomSubset(running, random, random.nextInt(3) == 0 ? members / 3 : 1),
                  List.of(),
                  0));
      case STARVE ->
          faults.add(
              new Fault(
                  atMs,
                  Math.min(maxMs, 2000 + random.nextInt(4000)),
                  kind,
                  List.of(target),
                  List.of(),
                  0.05));
      case BREAK -> faults.add(new Fault(atMs, 0, kind, List.of(target), List.of(peer), 0));
      default -> {
        final long forMs = Math.min(maxMs, 2000 + random.nextInt(10_000));
        if (mix.partitions() && random.nextInt(3) == 0 && members > 2) {
          final List<Integer> side =
              randomSubset(
                  IntStream.range(0, members).boxed().toList(),
                  random,
                  1 + random.nextInt(members / 2));
          final List<Integer> rest =
              IntStream.range(0, members).boxed().filter(one -> !side.contains(one)).toList();
          faults.add(new Fault(atMs, forMs, kind, side, rest, 0));
          faults.add(new Fault(atMs, forMs, kind, rest, side, 0));
        } else {
          faults.add(new Fault(atMs, forMs, kind, List.of(target), List.of(peer), 0));
        }
      }
    }
  }

  private static List<Integer> randomSubset(
      final List<Integer> of, final Random random, final int count) {
    final List<Integer> left = new ArrayList<>(of);
    Collections.shuffle(left, random);
    return left.subList(0, Math.max(1, Math.min(count, left.size()))).stream().sorted().toList();
  }
}
