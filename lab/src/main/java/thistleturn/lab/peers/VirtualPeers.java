package thistleturn.lab.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import thistleturn.lab.virtual.EventQueue;
import thistleturn.testkit.rig.Fault;
import thistleturn.testkit.rig.FleetChecker;
import thistleturn.testkit.rig.Schedule;

/**
 * Plays a schedule of faults on virtual processes. A process that stands still gets all that came
 * meanwhile when it goes on, its timers first, as a real one does. Connections behave as the
 * system's: the end of a process ends or refuses them, a process that stands still neither ends nor
 * greets, and over a cut nothing is heard.
 */
public final class VirtualPeers {
  private static final long MS = 1000;
  private static final long TICK_US = 100 * MS;
  private static final long LEAST_DELAY_US = 200;
  private static final long MORE_DELAY_US = 2 * MS;

  /**
   * After which a lost segment of a connection is sent again, and after which nobody waits for a
   * greeting any more, us.
   */
  private static final long AGAIN_US = 200 * MS;

  private static final long PATIENCE_US = 1000 * MS;
  private static final long SLICE_US = 10 * MS;

  private final EventQueue agenda = new EventQueue(1_000_000_000L);
  private final long beganUs = agenda.nowUs();
  private final Schedule schedule;
  private final Contestant.Maker maker;
  private final SplittableRandom random;
  private final List<String> names;
  private final Map<String, Integer> numbers = new HashMap<>();
  private final SimulatedProcess[] processes;
  private final int[] lives;
  private final int[][] cuts;
  private final FleetChecker judge;
  private Consumer<VirtualPeers> look = world -> {};
  private double loss;
  private double doubled;
  private long jitterUs;
  private long datagrams;
  private long bytes;
  private long lost;

  /** One process. */
  private final class SimulatedProcess implements Contestant.Wire {
    private final int number;
    private final String name;
    private final Contestant contestant;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private final Map<Integer, Integer> lifelines = new HashMap<>();
    private int connects;
    private boolean stopped;
    private boolean over;
    private String life = "";
    private long view = -1;
    private String line = "";

    SimulatedProcess(final int number) {
      this.number = number;
      this.name = names.get(number);
      this.contestant =
          maker.make(number, lives[number]++, names, random.nextLong(), agenda.nowUs(), this);
      observe();
      agenda.in(random.nextLong(TICK_US), this::tick);
    }

    private void tick() {
      if (over) {
        return;
      }
      agenda.in(TICK_US, this::tick);
      if (!stopped) {
        contestant.tick(agenda.nowUs());
        observe();
      }
    }

    /** Something for this process, now or when it goes on. */
    private void run(final Runnable what) {
      if (over) {
        return;
      }
      if (stopped) {
        waiting.add(what);
      } else {
        what.run();
        observe();
      }
    }

    private void observe() {
      if (over) {
        return;
      }
      final String now = contestant.life();
      if (!now.equals(life)) {
        life = now;
        judge.processStarted(name, now, nowMs());
      }
      if (contestant.number() != view || !contestant.line().equals(line)) {
        view = contestant.number();
        line = contestant.line();
        if (!line.isEmpty()) {
          judge.viewObserved(name, line, view, contestant.members(), nowMs());
        }
      }
    }

    private void stop(final boolean stop) {
      if (over || stopped == stop) {
        return;
      }
      stopped = stop;
      judge.setPaused(name, stop, nowMs());
      if (!stop) {
        contestant.tick(agenda.nowUs());
        while (!waiting.isEmpty() && !over) {
          waiting.poll().run();
        }
        observe();
      }
    }

    private void end() {
      over = true;
      judge.processEnded(name, nowMs());
      for (final SimulatedProcess other : processes) {
        if (other != null && !other.over && other.lifelines.containsKey(number)) {
          final int connection = other.lifelines.get(number);
          whenOpen(number, other.number, () -> other.run(() -> other.ended(number, connection)));
        }
      }
    }

    private void ended(final int to, final int connection) {
      if (lifelines.remove(to, connection)) {
        contestant.closed(names.get(to), agenda.nowUs());
      }
    }

    @Override
    public void send(final String to, final Object message, final int size) {
      datagrams++;
      bytes += size;
      final Integer target = numbers.get(to);
      if (target == null || cuts[number][target] > 0 || random.nextDouble() < loss) {
        lost++;
        return;
      }
      final int times = doubled > 0 && random.nextDouble() < doubled ? 2 : 1;
      for (int copy = 0; copy < times; copy++) {
        agenda.in(
            delayUs(),
            () -> {
              final SimulatedProcess there = processes[target];
              if (there != null && cuts[number][target] == 0) {
                there.run(() -> there.contestant.receive(message, agenda.nowUs()));
              }
            });
      }
    }

    @Override
    public void connect(final String to) {
      final int target = numbers.get(to);
      final int connection = ++connects;
      lifelines.put(target, connection);
      final long begunUs = agenda.nowUs();
      agenda.in(
          PATIENCE_US,
          () ->
              run(
                  () -> {
                    if (lifelines.getOrDefault(target, 0) == connection) {
                      lifelines.remove(target);
                      contestant.unanswered(to, agenda.nowUs());
                    }
                  }));
      whenOpen(number, target, () -> arrive(target, to, connection, begunUs));
    }

    private void arrive(
        final int target, final String to, final int connection, final long begunUs) {
      final SimulatedProcess there = processes[target];
      if (there == null || there.over) {
        whenOpen(target, number, () -> run(() -> ended(target, connection)));
      } else {
        there.run(
            () ->
                whenOpen(
                    target,
                    number,
                    () ->
                        run(
                            () -> {
                              if (lifelines.getOrDefault(target, 0) == connection
                                  && agenda.nowUs() - begunUs < PATIENCE_US) {
                                // Greeted: the patience of a later connection has another number.
                                lifelines.put(target, ++connects);
                                final int kept = connects;
                                if (there.over) {
                                  ended(target, kept);
                                } else {
                                  contestant.greeted(to, there.contestant.life(), agenda.nowUs());
                                }
                              }
                            })));
      }
    }

    @Override
    public void disconnect(final String to) {
      lifelines.remove(numbers.get(to));
    }

    @Override
    public void pass(final String to, final Object message, final int size) {
      bytes += size;
      final Integer target = numbers.get(to);
      if (target != null) {
        whenOpen(
            number,
            target,
            () -> {
              final SimulatedProcess there = processes[target];
              if (there != null) {
                there.run(() -> there.contestant.receive(message, agenda.nowUs()));
              }
            });
      }
    }
  }

  /** A schedule for processes of that maker; a pause of that length may cost a life its place. */
  public VirtualPeers(
      final Schedule schedule, final Contestant.Maker maker, final long pauseLimitMs) {
    this.schedule = schedule;
    this.maker = maker;
    this.random = new SplittableRandom(schedule.seed());
    this.names =
        IntStream.range(0, schedule.members())
            .mapToObj(number -> String.format("n%03d", number))
            .toList();
    this.processes = new SimulatedProcess[schedule.members()];
    this.lives = new int[schedule.members()];
    this.cuts = new int[schedule.members()][schedule.members()];
    this.judge = new FleetChecker(pauseLimitMs);
    names.forEach(name -> numbers.put(name, numbers.size()));
  }

  /** Has that called after every moment in which anything happened. */
  public VirtualPeers looking(final Consumer<VirtualPeers> at) {
    look = at;
    return this;
  }

  private long delayUs() {
    return LEAST_DELAY_US
        + random.nextLong(MORE_DELAY_US)
        + (jitterUs > 0 ? random.nextLong(jitterUs) : 0);
  }

  /**
   * Something over a connection's way: it waits for a cut to end, and for what is lost to be sent
   * again.
   */
  private void whenOpen(final int from, final int to, final Runnable what) {
    long delayUs = delayUs();
    while (random.nextDouble() < loss) {
      delayUs += AGAIN_US;
    }
    agenda.in(
        delayUs,
        () -> {
          if (cuts[from][to] > 0) {
            agenda.in(AGAIN_US, () -> whenOpen(from, to, what));
          } else {
            what.run();
          }
        });
  }

  /** The time of the schedule, ms. */
  public long nowMs() {
    return (agenda.nowUs() - beganUs) / MS;
  }

  /** Plays it to its end. */
  public FleetChecker play() {
    for (final Fault fault : schedule.faults()) {
      agenda.at(beganUs + fault.atMs() * MS, () -> begin(fault));
    }
    for (int number = 0; number < processes.length; number++) {
      final int one = number;
      agenda.at(
          beganUs + random.nextLong(200 * MS), () -> processes[one] = new SimulatedProcess(one));
    }
    final long endUs = beganUs + schedule.endMs() * MS;
    while (agenda.step(endUs)) {
      look.accept(this);
    }
    judge.compareViews(nowMs());
    return judge;
  }

  private void begin(final Fault fault) {
    final long untilUs = fault.forMs() == 0 ? Long.MAX_VALUE : agenda.nowUs() + fault.forMs() * MS;
    switch (fault.kind()) {
      case KILL -> each(fault, SimulatedProcess::end);
      case LEAVE ->
          each(
              fault,
              process -> {
                process.contestant.leave(agenda.nowUs());
                process.end();
              });
      case START ->
          fault
              .targets()
              .forEach(
                  number -> {
                    if (processes[number] == null || processes[number].over) {
                      processes[number] = new SimulatedProcess(number);
                    }
                  });
      case PAUSE ->
          each(
              fault,
              process -> {
                process.stop(true);
                agenda.at(untilUs, () -> process.stop(false));
              });
      case STARVE -> each(fault, process -> starve(process, fault.value(), untilUs));
      case CUT -> {
        cut(fault, 1);
        judge.linksCut(fault, names);
        agenda.at(untilUs, () -> cut(fault, -1));
      }
      case BREAK -> {
        reset(fault.targets(), fault.others());
        reset(fault.others(), fault.targets());
      }
      case LOSS -> loss = fault.value();
      case DOUBLE -> doubled = fault.value();
      case DELAY -> jitterUs = (long) (fault.value() * MS);
    }
    if (fault.forMs() > 0 && fault.targets().isEmpty()) {
      agenda.at(untilUs, () -> begin(new Fault(0, 0, fault.kind(), List.of(), List.of(), 0)));
    }
  }

  private void each(final Fault fault, final Consumer<SimulatedProcess> what) {
    for (final int number : fault.targets()) {
      if (processes[number] != null && !processes[number].over) {
        what.accept(processes[number]);
      }
    }
  }

  private void starve(final SimulatedProcess process, final double share, final long untilUs) {
    if (process.over || agenda.nowUs() >= untilUs) {
      return;
    }
    process.stop(true);
    agenda.in(
        (long) (SLICE_US / share) - SLICE_US,
        () -> {
          process.stop(false);
          agenda.in(SLICE_US, () -> starve(process, share, untilUs));
        });
  }

  private void cut(final Fault fault, final int by) {
    final Set<Integer> to = new HashSet<>(fault.others());
    for (final int one : fault.targets()) {
      to.forEach(other -> cuts[one][other] += by);
    }
  }

  private void reset(final List<Integer> from, final List<Integer> to) {
    for (final int one : from) {
      final SimulatedProcess process = processes[one];
      for (final int other : to) {
        if (process != null && process.lifelines.containsKey(other)) {
          final int connection = process.lifelines.get(other);
          process.run(() -> process.ended(other, connection));
        }
      }
    }
  }

  /** The judge. */
  public FleetChecker judge() {
    return judge;
  }

  /** Those that run or stand still now. */
  public List<Contestant> living() {
    final List<Contestant> living = new ArrayList<>();
    for (final SimulatedProcess process : processes) {
      if (process != null && !process.over) {
        living.add(process.contestant);
      }
    }
    return living;
  }

  /** Bytes that were sent. */
  public long bytes() {
    return bytes;
  }

  /** Datagrams that were sent, and how many of them were lost. */
  public long datagrams() {
    return datagrams;
  }

  /** Datagrams that were lost. */
  public long lost() {
    return lost;
  }
}
