package thistleturn.decisions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * What one courier's decisions have learnt, as another process of the same courier takes it over: figures are to be
 * handed on as they are, moments by the clock that both processes share (0 and {@link Long#MAX_VALUE}, long ago and
 * never, as they are). It only means something to a module of the same {@link #VERSION}.
 *
 * @param classMeanUs mean service time of each class, us; in the order of the settings
 * @param classSamples what each of them rests on
 * @param trustUs how long idle connections are trusted, us
 * @param lanes destinations, or their routes
 * @param nodes endpoints
 */
public record Memory(double[] classMeanUs, int[] classSamples, double trustUs, List<OfLane> lanes, List<OfNode> nodes) {
    /** To be raised when what the figures mean changes. */
    public static final int VERSION = 1;

    /** A lane, known by one of its endpoints. */
    public record OfLane(long endpoint, double[] figures, long[] moments) { }

    /** An endpoint. */
    public record OfNode(long endpoint, double[] figures, long[] moments) { }

    /** What is remembered of these; lanes of which nothing was ever heard are left out. */
    static Memory of(final double[] classMeanUs, final int[] classSamples, final double trustUs,
            final Collection<Node> all) {
        final List<OfLane> lanes = new ArrayList<>();
        final List<OfNode> nodes = new ArrayList<>();
        for (final Node node : all) {
            final Lane lane = node.lane;
            if (lane.lastSendUs == 0 && lane.phase == Phase.WELL) {
                continue;
            }
            if (lane.nodes.get(0) == node) {
                lanes.add(new OfLane(node.entry.id(), figures(lane), moments(lane)));
            }
            nodes.add(new OfNode(node.entry.id(), node.badRun.clone(), momentsOf(node)));
        }
        return new Memory(classMeanUs.clone(), classSamples.clone(), trustUs, lanes, nodes);
    }

    private static double[] figures(final Lane lane) {
        return new double[] {lane.window, lane.steps, lane.paceSamples, lane.rate, lane.callRate, lane.slowRatio,
            lane.pace, lane.stretch, lane.lastWeight, lane.told, lane.spacing, lane.slow ? 1 : 0,
            lane.phase.ordinal(), lane.badRun, lane.failShare, lane.rampSpanUs};
    }

    private static long[] moments(final Lane lane) {
        return new long[] {lane.troubleFromUs, lane.waitUntilUs, lane.pauseUntilUs, lane.nextTrialUs,
            lane.rampFromUs, lane.lastSendUs};
    }

    private static long[] momentsOf(final Node node) {
        final long[] moments = Arrays.copyOf(node.avoidUntilUs, node.avoidUntilUs.length + 2);
        moments[node.avoidUntilUs.length] = node.lastSendUs;
        moments[node.avoidUntilUs.length + 1] = node.lastServedUs;
        return moments;
    }

    /** Gives the endpoints that are known here, their lanes, and the classes what is remembered of them; tells the trust. */
    double recall(final Map<Long, Node> known, final double[] meanUs, final int[] samples) {
        System.arraycopy(classMeanUs, 0, meanUs, 0, meanUs.length);
        System.arraycopy(classSamples, 0, samples, 0, samples.length);
        for (final OfLane one : lanes) {
            if (known.containsKey(one.endpoint)) {
                recall(known.get(one.endpoint).lane, one.figures, one.moments);
            }
        }
        for (final OfNode one : nodes) {
            final Node node = known.get(one.endpoint);
            if (node != null) {
                System.arraycopy(one.figures, 0, node.badRun, 0, node.badRun.length);
                System.arraycopy(one.moments, 0, node.avoidUntilUs, 0, node.avoidUntilUs.length);
                node.lastSendUs = one.moments[node.avoidUntilUs.length];
                node.lastServedUs = one.moments[node.avoidUntilUs.length + 1];
            }
        }
        return trustUs;
    }

    private static void recall(final Lane lane, final double[] figures, final long[] moments) {
        lane.window = figures[0];
        lane.steps = (int) figures[1];
        lane.paceSamples = (int) figures[2];
        lane.rate = figures[3];
        lane.callRate = figures[4];
        lane.slowRatio = figures[5];
        lane.pace = figures[6];
        lane.stretch = figures[7];
        lane.lastWeight = figures[8];
        lane.told = figures[9];
        lane.spacing = figures[10];
        lane.slow = figures[11] > 0;
        lane.phase = Phase.values()[(int) figures[12]];
        lane.badRun = figures[13];
        lane.failShare = figures[14];
        lane.rampSpanUs = figures[15];
        lane.troubleFromUs = moments[0];
        lane.waitUntilUs = moments[1];
        lane.pauseUntilUs = moments[2];
        lane.nextTrialUs = moments[3];
        lane.rampFromUs = moments[4];
        lane.lastSendUs = moments[5];
    }
}
