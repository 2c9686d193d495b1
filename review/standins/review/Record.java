package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the seconds since its start. */
final class Record {
    private static final long START_NS = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static synchronized void line(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - START_NS) / 1e9, text);
        if (out != null) {
            out.println(line);
        }
    }

    /** Writes a line to the record and to the standard output. */
    static synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }

    static double seconds(long ns) {
        return (ns - START_NS) / 1e9;
    }
}
