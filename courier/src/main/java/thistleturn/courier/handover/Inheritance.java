package thistleturn.courier.handover;

import java.util.List;
import thistleturn.courier.port.Directory;
import thistleturn.decisions.Memory;

/**
 * What a process hands on beside the journal. Endpoints are known by numbers of its own; moments are in Unix
 * microseconds.
 *
 * @param endpoints the list as it was last told
 * @param memory what the decisions have learnt
 * @param calls calls that are out, and stay with the older process until they end
 */
public record Inheritance(List<Named> endpoints, Memory memory, List<CallOut> calls) {

    /** An endpoint's number, and how the list names it. */
    public record Named(long number, Directory.Listing listing) { }

    /** A call with the ids of its messages in order; {@code destination} is theirs. */
    public record CallOut(long number, long endpoint, long destination, long sentWallUs, List<String> messageIds) { }
}
