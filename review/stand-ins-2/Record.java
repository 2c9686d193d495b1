import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for all that was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", seconds(), text);
    }

    @Override
    public void close() {
        out.close();
    }
}
