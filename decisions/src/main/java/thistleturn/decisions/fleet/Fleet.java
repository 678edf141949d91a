package thistleturn.decisions.fleet;

/** What the size of a fleet alone decides. */
public final class Fleet {
    /** Couriers that each meet all destinations often, and may all keep idle connections. A default. */
    private static final int FEW = 6;

    private Fleet() { }

    /** True where what each courier may do alone is too much if all do it. */
    public static boolean isLarge(final int couriers) {
        return couriers > FEW;
    }
}
