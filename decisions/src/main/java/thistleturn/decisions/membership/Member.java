package thistleturn.decisions.membership;

/**
 * An endpoint as all sources together have it. {@code name} is the same for as long as it is in the view;
 * {@code decidedBy} the source whose word counted, empty if none; {@code heardUs} when that source was last heard.
 */
public record Member(String name, String address, long destination, String zone, String kind, double ratePerSecond,
                     State state, Because because, String decidedBy, long heardUs, long sinceUs) {

    /** What it means for sending. */
    public enum State { UP, DRAINING, GONE }

    /** True if both tell the courier the same; age and reason are for people. */
    boolean tellsTheSame(final Member other) {
        return other != null && state == other.state && zone.equals(other.zone) && kind.equals(other.kind)
                && ratePerSecond == other.ratePerSecond;
    }
}
