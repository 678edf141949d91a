package thistleturn.decisions;

import java.util.List;

/**
 * One destination (or route) as operators see it.
 *
 * @param destination its number
 * @param endpoints the numbers of its endpoints
 * @param phase how it is: {@code WELL}, {@code OUT} or {@code RAMP}
 * @param window calls in flight that it may have
 * @param inFlight those it has; {@code silent} of them are overdue
 * @param waiting messages of the destination that wait
 * @param servedPerSecond calls, a slow average
 * @param spacingPerSecond sends allowed a second, after refusals or as this courier's part of a told rate; infinite: any
 *     number
 * @param cause what its refusals are taken to answer to: {@code UNSURE}, {@code LOAD} or {@code NOISE}
 * @param evidence nats for noise (above 0) or load (below); 3 settle it
 * @param refusedShare share of recent calls that were refused
 * @param furtherCalls further calls at once that its budget leaves
 * @param growing true in its first seconds, until the first sign of crowding
 * @param why what keeps the next message, in a sentence
 */
public record LaneView(long destination, List<Long> endpoints, String phase, double window, int inFlight, int silent,
                       int waiting, double servedPerSecond, double spacingPerSecond, String cause, double evidence,
                       double refusedShare, double furtherCalls, boolean growing, String why) {
    private static final long US_PER_MS = 1000;

    static LaneView of(final Lane lane, final long nowUs, final long openAtUs, final int cap) {
        return new LaneView(lane.destination.id, lane.nodes.stream().map(Node::id).toList(),
                lane.phase.name(), lane.window, lane.calls, lane.fallen, lane.destination.waiting, lane.callRate,
                lane.share.isKept() ? lane.share.ratePerSecond() : lane.spacing, lane.reading.cause(nowUs).name(),
                lane.reading.evidence(nowUs), lane.reading.share(), lane.budget.left(), lane.growth.isGrowing(), why(lane, nowUs, openAtUs, cap));
    }

    private static String why(final Lane lane, final long nowUs, final long openAtUs, final int cap) {
        if (lane.destination.waiting == 0) {
            return "nothing waits";
        }
        if (lane.nodes.stream().noneMatch(node -> node.condition == Courier.Condition.LISTED)) {
            return "none of its endpoints is listed for use";
        }
        if (nowUs < lane.waitUntilUs) {
            return "it told to wait: " + in(lane.waitUntilUs - nowUs) + " are left";
        }
        if (lane.phase == Phase.OUT) {
            return lane.calls > 0 ? "it is out, and a trial is under way"
                    : "it is out: the next trial goes in " + in(lane.nextTrialUs - nowUs);
        }
        if (lane.calls >= cap) {
            return "its window is full: " + lane.calls + " of " + cap + " calls are in flight";
        }
        if (openAtUs > nowUs) {
            return lane.phase == Phase.RAMP ? "it returns from an outage: the next call goes in " + in(openAtUs - nowUs)
                    : nowUs < lane.pausedUntilUs() ? "it pauses after a refusal: " + in(openAtUs - nowUs) + " are left"
                    : lane.share.isKept() ? "this courier's part of the rate told is used up: the next one goes in "
                    + in(openAtUs - nowUs)
                    : "its sends are spaced after refusals: the next one goes in " + in(openAtUs - nowUs);
        }
        if (lane.nodes.stream().allMatch(node -> node.isAvoided(nowUs))) {
            return "all of its endpoints are avoided for trouble with them";
        }
        return "the next message may go as soon as a slot is free, unless its class is avoided or another of its key is out";
    }

    private static String in(final long us) {
        return Math.max(0, us) / US_PER_MS + " ms";
    }
}
