package org.cornelcove.testkit;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Starts programs of this build in processes of their own, with the class path of the running program. */
public final class JavaProcess {
    private JavaProcess() {}

    /**
     * Starts a program.
     *
     * @param log the file to which standard output and standard error are appended
     * @param options options of the JVM
     * @param main the fully qualified name of its main class
     * @param arguments the arguments of the main method
     * @return the running process
     * @throws IOException if the process can't be started
     */
    public static Process start(Path log, List<String> options, String main, List<String> arguments)
            throws IOException {
        return start(log, options, main, arguments, Map.of());
    }

    /**
     * Starts a program with additional environment variables.
     *
     * @param log the file to which standard output and standard error are appended
     * @param options options of the JVM
     * @param main the fully qualified name of its main class
     * @param arguments the arguments of the main method
     * @param environment the variables by name
     * @return the running process
     * @throws IOException if the process can't be started
     */
    public static Process start(
            Path log, List<String> options, String main, List<String> arguments, Map<String, String> environment)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.add("-cp");
        command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
        command.add(main);
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        return builder.start();
    }
}
