package org.cornelcove.testkit;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one target until SIGTERM; then it announces that it is leaving and finishes its running requests. */
@Command(name = "target", description = "Runs one target.", mixinStandardHelpOptions = true)
final class TargetCommand implements Callable<Integer> {
    @Option(names = "--name", required = true)
    private String name;

    @Option(names = "--service", required = true)
    private String service;

    @Option(names = "--availability-zone", required = true)
    private String availabilityZone;

    @Option(names = "--slots", defaultValue = "8")
    private int slots;

    @Option(names = "--api", required = true, split = ",")
    private List<String> api;

    @Option(names = "--history")
    private Path history;

    @Override
    public Integer call() throws Exception {
        TargetOptions options = new TargetOptions(name, service, availabilityZone, slots, api);
        TargetServer server = TargetServer.start(options, History.open(Optional.ofNullable(history)));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            server.leave();
            server.close();
        }));
        new CountDownLatch(1).await();
        return 0;
    }
}
