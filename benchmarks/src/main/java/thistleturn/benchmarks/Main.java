package thistleturn.benchmarks;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import thistleturn.benchmarks.fleet.MeasureFleet;
import thistleturn.benchmarks.fleet.MeasureSharing;
import thistleturn.benchmarks.health.MeasureAway;
import thistleturn.benchmarks.health.MeasureHealth;
import thistleturn.benchmarks.noise.MeasureNoise;
import thistleturn.benchmarks.peers.MeasurePeers;
import thistleturn.benchmarks.peers.MeasurePeersCost;
import thistleturn.benchmarks.peers.MeasureVirtualPeers;
import thistleturn.benchmarks.replicas.MeasureReplicas;
import thistleturn.benchmarks.replicas.MeasureVirtualReplicas;
import thistleturn.benchmarks.scale.MeasureFlood;
import thistleturn.benchmarks.scale.MeasureIdle;
import thistleturn.benchmarks.scale.MeasureProfile;
import thistleturn.benchmarks.scale.MeasureScale;
import thistleturn.benchmarks.scale.MeasureShards;

/** Entry point of {@code bin/thistleturn measure}. */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    description = "Prints the tables of docs/measurements, measured now on this machine.",
    subcommands = {
      MeasureFleet.class,
      MeasureSharing.class,
      MeasureHealth.class,
      MeasureAway.class,
      MeasureNoise.class,
      MeasurePeers.class,
      MeasureVirtualPeers.class,
      MeasurePeersCost.class,
      MeasureReplicas.class,
      MeasureVirtualReplicas.class,
      MeasureMembership.class,
      MeasureDrain.class,
      MeasureOutage.class,
      MeasureScale.class,
      MeasureShards.class,
      MeasureFlood.class,
      MeasureIdle.class,
      MeasureProfile.class,
      CommandLine.HelpCommand.class
    })
public final class Main {
  private Main() {}

  /** Runs the subcommand that the arguments name and exits with its status. */
  public static void main(final String[] args) {
    System.exit(new CommandLine(new Main()).execute(args));
  }
}
