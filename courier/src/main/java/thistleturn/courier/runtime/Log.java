package thistleturn.courier.runtime;

/** Standard error is the courier's log. One line for each thing that an operator should know, none for a message. */
public final class Log {
    private static final int BROKEN_STATUS = 70;

    private Log() { }

    /** One line. */
    public static void info(final String text) {
        System.err.println(text);
    }

    /** Says what failed and why, with the trace: an unexpected exception is worth its lines. */
    public static void failure(final String what, final Throwable cause) {
        System.err.println(what + ": " + cause);
        cause.printStackTrace();
        if (cause instanceof VirtualMachineError) {
            // Nothing can be trusted after that, least of all that anyone is served; the next process resumes.
            Runtime.getRuntime().halt(BROKEN_STATUS);
        }
    }
}
