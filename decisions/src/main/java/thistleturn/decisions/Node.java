package thistleturn.decisions;

/** An endpoint. */
final class Node {
    final Courier.Endpoint entry;
    final Lane lane;
    Courier.Condition condition;
    int inFlight, connections, silent;
    /** Since which event or pass its silent calls are to be reckoned with. */
    long avoidTick;
    /** Failures in a row of each class, and until when that class goes elsewhere. */
    final double[] badRun;
    final long[] avoidUntilUs;
    long lastUseUs, lastSendUs, lastServedUs;

    Node(final Courier.Endpoint entry, final Lane lane, final int classes) {
        this.badRun = new double[classes];
        this.avoidUntilUs = new long[classes];
        this.entry = entry;
        this.lane = lane;
    }
}
