package org.cornelcove.testkit;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.resource.Resources;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one worker until SIGTERM, which ends it with its attempts. */
@Command(name = "worker", description = "Runs one worker.", mixinStandardHelpOptions = true)
final class WorkerCommand implements Callable<Integer> {
    private static final long MILLICORES_PER_CORE = 1000;

    @Option(names = "--name", required = true)
    private String name;

    @Option(names = "--availability-zone", required = true)
    private String availabilityZone;

    @Option(names = "--rack", defaultValue = "rack-1")
    private String rack;

    @Option(names = "--cores", defaultValue = "32")
    private int cores;

    @Option(names = "--memory-gib", defaultValue = "125")
    private int memoryGib;

    @Option(names = "--accelerators", defaultValue = "0")
    private int accelerators;

    @Option(names = "--failing", description = "Every task fails.")
    private boolean failing;

    @Option(names = "--api", required = true, split = ",")
    private List<String> api;

    @Option(names = "--history")
    private Path history;

    @Override
    public Integer call() throws Exception {
        Resources capacity = Resources.of(cores * MILLICORES_PER_CORE, (long) memoryGib << 30, accelerators);
        WorkerOptions options = new WorkerOptions(HostId.of(name), availabilityZone, rack, capacity, failing, api);
        WorkerAgent agent = WorkerAgent.start(options, History.open(Optional.ofNullable(history)));
        Runtime.getRuntime().addShutdownHook(new Thread(agent::close));
        new CountDownLatch(1).await();
        return 0;
    }
}
