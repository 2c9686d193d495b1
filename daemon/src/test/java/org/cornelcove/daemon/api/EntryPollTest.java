package org.cornelcove.daemon.api;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

import org.HdrHistogram.Histogram;
import org.cornelcove.control.view.ControlStatus;
import org.cornelcove.control.view.EntryStatus;
import org.cornelcove.control.view.JobCounts;
import org.cornelcove.daemon.call.Calls;
import org.cornelcove.daemon.call.Empty;
import org.cornelcove.daemon.call.EntryHistograms;
import org.cornelcove.entry.RecordedHistogram;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.view.EntryGap;
import org.cornelcove.wire.CallClient;
import org.cornelcove.wire.CallHandlers;
import org.cornelcove.wire.CallServer;
import org.cornelcove.wire.LeaderRouter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class EntryPollTest {
    private final List<CallServer> servers = new ArrayList<>();
    private final List<EntryStatus> entries = new ArrayList<>();
    private final CallClient client = CallClient.create();

    @AfterEach
    void close() {
        client.close();
        servers.forEach(CallServer::close);
    }

    @Test
    void eachLiveEntryIsQueriedAndEachWithoutAnswerIsListed() {
        entry("a", any -> done(histogram(1)));
        entry("b", any -> done(histogram(2)));
        entry("frozen", any -> new CompletableFuture<>());
        entry("damaged", any -> done(new RecordedHistogram("l", new byte[3])));
        entries.add(status("older", serve(CallHandlers.create()), true));
        entries.add(status("stopped", "127.0.0.1:1", true));
        entries.add(status("silent", "127.0.0.1:1", false));
        EntryPoll.Answers<HistogramMerge> polled = poll(leader()).join();

        assertThat(HistogramMerge.of(polled.answers().values()).views().get(0).count(), is(2L));
        assertThat(polled.coverage().answered(), is(List.of(EntryId.of("a"), EntryId.of("b"))));
        assertThat(polled.coverage().silent(), is(List.of(EntryId.of("silent"))));
        assertThat(polled.coverage().whole(), is(false));
        Map<String, String> reasons = Map.of(
                "frozen", "2000 ms", "damaged", "histogram l", "older", "entry-histograms", "stopped", "127.0.0.1:1");
        assertThat(polled.coverage().unanswered().size(), is(reasons.size()));
        for (EntryGap gap : polled.coverage().unanswered()) {
            assertThat(gap.reason(), containsString(reasons.get(gap.entry().value())));
        }
    }

    @Test
    void silentEntriesDoNotMakeTheCoverageIncomplete() {
        entry("a", any -> done(histogram(1)));
        entries.add(status("silent", "", false));
        assertThat(poll(leader()).join().coverage().whole(), is(true));
    }

    @Test
    void withoutLeaderAndLocalEntryThePollFails() {
        CompletionException thrown = assertThrows(
                CompletionException.class, () -> poll("127.0.0.1:1").join());
        assertThat(FailureException.carriedBy(thrown).orElseThrow().kind(), is(ErrorKind.NO_QUORUM));
    }

    private CompletableFuture<EntryPoll.Answers<HistogramMerge>> poll(String leader) {
        LeaderRouter router = LeaderRouter.create(client, () -> List.of(leader));
        return EntryPoll.of(new Backend(router, client, Optional.empty(), Optional::empty))
                .poll(
                        Calls.ENTRY_HISTOGRAMS,
                        Empty.INSTANCE,
                        entry -> new EntryHistograms(List.of()),
                        answer -> HistogramMerge.of(answer.histograms()));
    }

    private static RecordedHistogram histogram(long valueUs) {
        Histogram histogram = new Histogram(2);
        histogram.recordValue(valueUs);
        return HistogramMergeTest.recorded("class.safe.latencyUs", histogram);
    }

    private static CompletableFuture<EntryHistograms> done(RecordedHistogram histogram) {
        return CompletableFuture.completedFuture(new EntryHistograms(List.of(histogram)));
    }

    private void entry(String name, Function<Empty, CompletableFuture<EntryHistograms>> answer) {
        entries.add(status(name, serve(CallHandlers.create().answer(Calls.ENTRY_HISTOGRAMS, answer)), true));
    }

    private static EntryStatus status(String name, String address, boolean live) {
        return new EntryStatus(EntryId.of(name), 1, "zone", address, live, false, 0, 0, 0);
    }

    private String leader() {
        ControlStatus status = new ControlStatus(1, 0, entries, List.of(), List.of(), new JobCounts(0, 0, 0, 0, 0), 0);
        return serve(CallHandlers.create().answer(Calls.STATUS, any -> CompletableFuture.completedFuture(status)));
    }

    private String serve(CallHandlers handlers) {
        CallServer server = CallServer.open(new InetSocketAddress("127.0.0.1", 0), handlers);
        servers.add(server);
        return "127.0.0.1:" + server.address().getPort();
    }
}
