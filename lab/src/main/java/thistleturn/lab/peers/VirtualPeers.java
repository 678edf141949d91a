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
 * Runs a schedule of faults on simulated processes in virtual time. A paused process handles, on
 * resuming, everything that arrived during the pause, its timers first, as a real process does.
 * Connections behave like those of the operating system: the end of a process closes or refuses
 * them, a paused process neither closes nor establishes any, and nothing passes a cut link.
 */
public final class VirtualPeers {
  private static final long MS = 1000;
  private static final long TICK_US = 100 * MS;
  private static final long MIN_DELAY_US = 200;
  private static final long EXTRA_DELAY_US = 2 * MS;

  /** Delay until a lost segment of a connection is retransmitted, us. */
  private static final long RETRANSMIT_US = 200 * MS;

  /** Time limit for establishing a connection, us. */
  private static final long CONNECT_TIMEOUT_US = 1000 * MS;

  private static final long TIME_SLICE_US = 10 * MS;

  private final EventQueue events = new EventQueue(1_000_000_000L);
  private final long startUs = events.nowUs();
  private final Schedule schedule;
  private final MembershipNode.Factory factory;
  private final SplittableRandom random;
  private final List<String> names;
  private final Map<String, Integer> numbers = new HashMap<>();
  private final SimulatedProcess[] processes;
  private final int[] startCounts;
  private final int[][] cuts;
  private final FleetChecker checker;
  private Consumer<VirtualPeers> stepListener = simulation -> {};
  private double loss;
  private double duplication;
  private long jitterUs;
  private long datagrams;
  private long bytes;
  private long lost;

  /** One simulated process and its side of the network. */
  private final class SimulatedProcess implements MembershipNode.Network {
    private final int number;
    private final String name;
    private final MembershipNode node;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private final Map<Integer, Integer> connections = new HashMap<>();
    private int lastConnectionId;
    private boolean paused;
    private boolean ended;
    private String lastId = "";
    private long lastViewNumber = -1;
    private String lastLineage = "";

    SimulatedProcess(final int number) {
      this.number = number;
      this.name = names.get(number);
      this.node =
          factory.create(
              number, startCounts[number]++, names, random.nextLong(), events.nowUs(), this);
      observe();
      events.in(random.nextLong(TICK_US), this::tick);
    }

    private void tick() {
      if (ended) {
        return;
      }
      events.in(TICK_US, this::tick);
      if (!paused) {
        node.tick(events.nowUs());
        observe();
      }
    }

    /** Runs the action now or, if the process is paused, when it resumes. */
    private void run(final Runnable action) {
      if (ended) {
        return;
      }
      if (paused) {
        deferred.add(action);
      } else {
        action.run();
        observe();
      }
    }

    private void observe() {
      if (ended) {
        return;
      }
      final String id = node.id();
      if (!id.equals(lastId)) {
        lastId = id;
        checker.processStarted(name, id, nowMs());
      }
      if (node.viewNumber() != lastViewNumber || !node.viewLineage().equals(lastLineage)) {
        lastViewNumber = node.viewNumber();
        lastLineage = node.viewLineage();
        if (!lastLineage.isEmpty()) {
          checker.viewObserved(name, lastLineage, lastViewNumber, node.members(), nowMs());
        }
      }
    }

    private void setPaused(final boolean pause) {
      if (ended || paused == pause) {
        return;
      }
      paused = pause;
      checker.setPaused(name, pause, nowMs());
      if (!pause) {
        node.tick(events.nowUs());
        while (!deferred.isEmpty() && !ended) {
          deferred.poll().run();
        }
        observe();
      }
    }

    private void end() {
      ended = true;
      checker.processEnded(name, nowMs());
      for (final SimulatedProcess other : processes) {
        if (other != null && !other.ended && other.connections.containsKey(number)) {
          final int connection = other.connections.get(number);
          deliverReliably(
              number,
              other.number,
              () -> other.run(() -> other.onConnectionEnded(number, connection)));
        }
      }
    }

    private void onConnectionEnded(final int to, final int connection) {
      if (connections.remove(to, connection)) {
        node.onConnectionClosed(names.get(to), events.nowUs());
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
      final int copies = duplication > 0 && random.nextDouble() < duplication ? 2 : 1;
      for (int copy = 0; copy < copies; copy++) {
        events.in(
            delayUs(),
            () -> {
              final SimulatedProcess receiver = processes[target];
              if (receiver != null && cuts[number][target] == 0) {
                receiver.run(() -> receiver.node.receive(message, events.nowUs()));
              }
            });
      }
    }

    @Override
    public void connect(final String to) {
      final int target = numbers.get(to);
      final int connection = ++lastConnectionId;
      connections.put(target, connection);
      final long requestedUs = events.nowUs();
      events.in(
          CONNECT_TIMEOUT_US,
          () ->
              run(
                  () -> {
                    if (connections.getOrDefault(target, 0) == connection) {
                      connections.remove(target);
                      node.onConnectTimeout(to, events.nowUs());
                    }
                  }));
      deliverReliably(number, target, () -> acceptConnection(target, to, connection, requestedUs));
    }

    private void acceptConnection(
        final int target, final String to, final int connection, final long requestedUs) {
      final SimulatedProcess receiver = processes[target];
      if (receiver == null || receiver.ended) {
        deliverReliably(target, number, () -> run(() -> onConnectionEnded(target, connection)));
      } else {
        receiver.run(
            () ->
                deliverReliably(
                    target,
                    number,
                    () ->
                        run(
                            () -> {
                              if (connections.getOrDefault(target, 0) == connection
                                  && events.nowUs() - requestedUs < CONNECT_TIMEOUT_US) {
                                // Established: the new number keeps the pending connect timeout
                                // from applying to it.
                                connections.put(target, ++lastConnectionId);
                                final int established = lastConnectionId;
                                if (receiver.ended) {
                                  onConnectionEnded(target, established);
                                } else {
                                  node.onConnected(to, receiver.node.id(), events.nowUs());
                                }
                              }
                            })));
      }
    }

    @Override
    public void disconnect(final String to) {
      connections.remove(numbers.get(to));
    }

    @Override
    public void sendOverConnection(final String to, final Object message, final int size) {
      bytes += size;
      final Integer target = numbers.get(to);
      if (target != null) {
        deliverReliably(
            number,
            target,
            () -> {
              final SimulatedProcess receiver = processes[target];
              if (receiver != null) {
                receiver.run(() -> receiver.node.receive(message, events.nowUs()));
              }
            });
      }
    }
  }

  /**
   * Creates a simulation of a schedule.
   *
   * @param pauseLimitMs length from which a paused process may be removed from the view, ms
   */
  public VirtualPeers(
      final Schedule schedule, final MembershipNode.Factory factory, final long pauseLimitMs) {
    this.schedule = schedule;
    this.factory = factory;
    this.random = new SplittableRandom(schedule.seed());
    this.names =
        IntStream.range(0, schedule.members())
            .mapToObj(number -> String.format("n%03d", number))
            .toList();
    this.processes = new SimulatedProcess[schedule.members()];
    this.startCounts = new int[schedule.members()];
    this.cuts = new int[schedule.members()][schedule.members()];
    this.checker = new FleetChecker(pauseLimitMs);
    names.forEach(name -> numbers.put(name, numbers.size()));
  }

  /** Sets a listener that is called after each simulated event. */
  public VirtualPeers onEachStep(final Consumer<VirtualPeers> listener) {
    stepListener = listener;
    return this;
  }

  private long delayUs() {
    return MIN_DELAY_US
        + random.nextLong(EXTRA_DELAY_US)
        + (jitterUs > 0 ? random.nextLong(jitterUs) : 0);
  }

  /**
   * Delivers over a reliable connection: waits for the end of a cut and for lost segments to be
   * retransmitted.
   */
  private void deliverReliably(final int from, final int to, final Runnable action) {
    long delayUs = delayUs();
    while (random.nextDouble() < loss) {
      delayUs += RETRANSMIT_US;
    }
    events.in(
        delayUs,
        () -> {
          if (cuts[from][to] > 0) {
            events.in(RETRANSMIT_US, () -> deliverReliably(from, to, action));
          } else {
            action.run();
          }
        });
  }

  /** Time since the start of the schedule, ms. */
  public long nowMs() {
    return (events.nowUs() - startUs) / MS;
  }

  /** Runs the schedule to its end. */
  public FleetChecker play() {
    for (final Fault fault : schedule.faults()) {
      events.at(startUs + fault.atMs() * MS, () -> applyFault(fault));
    }
    for (int number = 0; number < processes.length; number++) {
      final int one = number;
      events.at(
          startUs + random.nextLong(200 * MS), () -> processes[one] = new SimulatedProcess(one));
    }
    final long endUs = startUs + schedule.endMs() * MS;
    while (events.step(endUs)) {
      stepListener.accept(this);
    }
    checker.compareViews(nowMs());
    return checker;
  }

  private void applyFault(final Fault fault) {
    final long untilUs = fault.forMs() == 0 ? Long.MAX_VALUE : events.nowUs() + fault.forMs() * MS;
    switch (fault.kind()) {
      case KILL -> forEachTarget(fault, SimulatedProcess::end);
      case LEAVE ->
          forEachTarget(
              fault,
              process -> {
                process.node.leave(events.nowUs());
                process.end();
              });
      case START ->
          fault
              .targets()
              .forEach(
                  number -> {
                    if (processes[number] == null || processes[number].ended) {
                      processes[number] = new SimulatedProcess(number);
                    }
                  });
      case PAUSE ->
          forEachTarget(
              fault,
              process -> {
                process.setPaused(true);
                events.at(untilUs, () -> process.setPaused(false));
              });
      case STARVE -> forEachTarget(fault, process -> starve(process, fault.value(), untilUs));
      case CUT -> {
        changeCuts(fault, 1);
        checker.linksCut(fault, names);
        events.at(untilUs, () -> changeCuts(fault, -1));
      }
      case BREAK -> {
        resetConnections(fault.targets(), fault.others());
        resetConnections(fault.others(), fault.targets());
      }
      case LOSS -> loss = fault.value();
      case DOUBLE -> duplication = fault.value();
      case DELAY -> jitterUs = (long) (fault.value() * MS);
    }
    if (fault.forMs() > 0 && fault.targets().isEmpty()) {
      events.at(untilUs, () -> applyFault(new Fault(0, 0, fault.kind(), List.of(), List.of(), 0)));
    }
  }

  private void forEachTarget(final Fault fault, final Consumer<SimulatedProcess> action) {
    for (final int number : fault.targets()) {
      if (processes[number] != null && !processes[number].ended) {
        action.accept(processes[number]);
      }
    }
  }

  private void starve(final SimulatedProcess process, final double share, final long untilUs) {
    if (process.ended || events.nowUs() >= untilUs) {
      return;
    }
    process.setPaused(true);
    events.in(
        (long) (TIME_SLICE_US / share) - TIME_SLICE_US,
        () -> {
          process.setPaused(false);
          events.in(TIME_SLICE_US, () -> starve(process, share, untilUs));
        });
  }

  private void changeCuts(final Fault fault, final int delta) {
    final Set<Integer> others = new HashSet<>(fault.others());
    for (final int one : fault.targets()) {
      others.forEach(other -> cuts[one][other] += delta);
    }
  }

  private void resetConnections(final List<Integer> from, final List<Integer> to) {
    for (final int one : from) {
      final SimulatedProcess process = processes[one];
      for (final int other : to) {
        if (process != null && process.connections.containsKey(other)) {
          final int connection = process.connections.get(other);
          process.run(() -> process.onConnectionEnded(other, connection));
        }
      }
    }
  }

  /** The checker of the fleet's guarantees. */
  public FleetChecker checker() {
    return checker;
  }

  /** The nodes of all processes that run or are paused. */
  public List<MembershipNode> running() {
    final List<MembershipNode> running = new ArrayList<>();
    for (final SimulatedProcess process : processes) {
      if (process != null && !process.ended) {
        running.add(process.node);
      }
    }
    return running;
  }

  /** Number of bytes sent. */
  public long bytes() {
    return bytes;
  }

  /** Number of datagrams sent, including lost ones. */
  public long datagrams() {
    return datagrams;
  }

  /** Number of datagrams lost. */
  public long lost() {
    return lost;
  }
}
