package org.cornelcove.work.group;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.cornelcove.wire.CallClient;
import org.cornelcove.work.lead.FakeWorkers;
import org.cornelcove.work.lead.LeadSettings;
import org.cornelcove.work.lead.WorkLeader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ControlNodeTest {
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final long SEVERAL_ATTEMPTS_MS = 1000;
    private static final String ADDRESS = "127.0.0.1:9";

    /**
     * A host that cannot store its identity, as on a full disk, must not join: after a restart it would have lost its
     * id.
     */
    @Test
    void aHostJoinsOnlyAfterStoringItsIdentity(@TempDir Path folder) throws Exception {
        Path blocker = Files.createDirectories(folder.resolve("member.new"));
        GroupSettings settings = new GroupSettings(ADDRESS, folder, true, List.of(ADDRESS), 1);
        try (CallClient client = CallClient.create();
                WorkLeader leader =
                        WorkLeader.create(new LeadSettings(5000, 6000, 200, 120_000), new FakeWorkers(null));
                ControlNode node = ControlNode.open(settings, client, leader)) {
            Thread.sleep(SEVERAL_ATTEMPTS_MS);
            assertThat("no member without an identity", node.view().members(), is(List.of()));
            Files.delete(blocker);
            await().atMost(LONG).until(node::leads);
            assertThat(MemberIdentity.read(folder).isPresent(), is(true));
        }
    }
}
