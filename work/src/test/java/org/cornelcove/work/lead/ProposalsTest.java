package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.work.state.Verdict;
import org.cornelcove.work.state.WorkCommand;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

class ProposalsTest {
    /** Guards against tasks that are never started because a listener before theirs failed. */
    @Test
    void aListenerThatThrowsKeepsNoOutcomeFromTheOthers() {
        CompletableFuture<byte[]> committed = new CompletableFuture<>();
        Proposals proposals = new Proposals(entry -> committed, Runnable::run);
        List<String> told = new ArrayList<>();
        proposals.add(new WorkCommand.RemoveJob("a"), result -> told.add("a"));
        proposals.add(new WorkCommand.RemoveJob("b"), result -> {
            throw new IllegalArgumentException("b");
        });
        proposals.add(new WorkCommand.RemoveJob("c"), result -> told.add("c"));
        proposals.flush();
        committed.complete(new byte[] {ok(), ok(), ok()});
        assertThat(told, contains("a", "c"));
    }

    private static byte ok() {
        return (byte) Verdict.DONE.ordinal();
    }
}
