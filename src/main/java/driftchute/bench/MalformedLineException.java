package driftchute.bench;

/** A line of the wire that cannot be read; its message names the line and the reason. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(final long line, final String reason) {
        super("line " + line + ": " + reason);
    }
}
