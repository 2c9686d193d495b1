package org.cornelcove.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.cornelcove.daemon.settings.Role;
import org.cornelcove.daemon.settings.Settings;
import org.cornelcove.model.id.EntryId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;

/** A planned stop of the leading host, in a group of three. */
class PlannedStopTest {
    private static final int MEMBERS = 3;
    private static final long DRAIN_MS = 200;

    @TempDir
    private Path folder;

    private final List<Daemon> daemons = new ArrayList<>();

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private void startAll() throws IOException {
        TreeMap<Long, String> members = new TreeMap<>();
        List<InetSocketAddress> rpc = new ArrayList<>();
        for (long id = 1; id <= MEMBERS; id++) {
            rpc.add(freeAddress());
            members.put(id, "127.0.0.1:" + rpc.get((int) id - 1).getPort());
        }
        for (int i = 0; i < MEMBERS; i++) {
            daemons.add(Daemon.start(new Settings(
                    EnumSet.allOf(Role.class),
                    EntryId.of("host-" + i),
                    "region-1",
                    "zone-1",
                    freeAddress(),
                    freeAddress(),
                    rpc.get(i),
                    Optional.of(folder.resolve("host-" + i)),
                    i + 1,
                    members,
                    DRAIN_MS)));
        }
    }

    @AfterEach
    void stopAll() {
        daemons.forEach(Daemon::close);
    }

    private Optional<Daemon> leader() {
        return daemons.stream().filter(Daemon::leads).findFirst();
    }

    /** A leader that gave up its leadership only when it closed cut off the calls that it had taken. */
    @Test
    void theLeaderHandsOverBeforeItCloses() throws IOException {
        startAll();
        await().atMost(30, TimeUnit.SECONDS).until(() -> leader().isPresent());
        Daemon first = leader().orElseThrow();
        first.drain();
        assertThat("another host leads, and this one still runs", !first.leads() && leader().isPresent());
    }
}
