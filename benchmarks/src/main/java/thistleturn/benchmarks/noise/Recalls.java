package thistleturn.benchmarks.noise;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.UnaryOperator;
import thistleturn.decisions.Memory;

/** What a process takes up of what the one before it had learnt. */
final class Recalls {
    private Recalls() { }

    static Map<String, UnaryOperator<Memory>> all() {
        final Map<String, UnaryOperator<Memory>> all = new LinkedHashMap<>();
        all.put("begun anew", null);
        all.put("taken up", UnaryOperator.identity());
        return all;
    }
}
