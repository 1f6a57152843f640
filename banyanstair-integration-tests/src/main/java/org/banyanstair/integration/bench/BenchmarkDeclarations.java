package org.banyanstair.integration.bench;

/** Declarations for benchmarks: one service {@code assistant-N} for each pool of the same name. */
final class BenchmarkDeclarations {
    private BenchmarkDeclarations() {}

    static String pool(int number) {
        return "assistant-" + number;
    }

    static String adapter(int number) {
        return "adapter-" + number;
    }

    /** Returns declarations with adapters that have one version, {@code v1}. */
    static String of(int pools, int adaptersPerPool) {
        StringBuilder text = new StringBuilder();
        for (int pool = 0; pool < pools; pool++) {
            text.append("[[service]]\nid = \"").append(pool(pool));
            text.append("\"\nkind = \"generation\"\npool = \"").append(pool(pool));
            // High limits, as all requests come from a single caller.
            text.append("\"\ncallers = [\"clerk\"]\nqueue-limit = 100000\ncaller-limit = 100000\n");
            text.append("[[pool]]\nid = \"").append(pool(pool));
            text.append("\"\nloads-per-second = 100\nloads-in-transit = 8\n");
        }
        for (int pool = 0; pool < pools; pool++) {
            for (int adapter = 0; adapter < adaptersPerPool; adapter++) {
                text.append("[[adapter]]\nservice = \"").append(pool(pool));
                text.append("\"\nid = \"").append(adapter(adapter)).append("\"\nversions = [\"v1\"]\n");
            }
        }
        return text.toString();
    }
}
