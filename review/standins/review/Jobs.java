package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.SecureRandom;

/** Jobs as clients hand them in. */
final class Jobs {
    private static final SecureRandom RANDOM = new SecureRandom();

    private Jobs() {}

    static String id() {
        return String.format("%016x", RANDOM.nextLong());
    }

    /** A job of one step. */
    static ObjectNode oneStep(int count, int cpu, int memoryMb, long workMs) {
        ObjectNode job = Json.object().put("taskSpec", "ms=" + workMs + " cpu=" + cpu + " mem=" + memoryMb);
        job.putArray("steps")
                .addObject()
                .put("count", count)
                .put("cpu", cpu)
                .put("memMb", memoryMb)
                .put("estRuntimeMs", workMs);
        return job;
    }
}
