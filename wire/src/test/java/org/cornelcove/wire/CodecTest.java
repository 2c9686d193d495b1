package org.cornelcove.wire;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.cornelcove.model.command.ClaimReplayed;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.EndAttempt;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.message.GrantChanges;
import org.cornelcove.model.message.PeerEntry;
import org.cornelcove.model.message.TargetLoad;
import org.cornelcove.model.request.RecordedAnswer;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.RuleSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class CodecTest {
    static Stream<Command> commands() {
        JobSpec spec = new JobSpec(
                JobId.of("j1"), "team", JobKind.BATCH, "cut", Resources.of(1000, 1 << 20, 1), 5, true, "payload");
        return Stream.of(
                new SubmitJob(spec),
                new EndAttempt(AttemptId.of(JobId.of("j1"), 2), AttemptEnd.EVICTED, Optional.of("c7"), ""),
                new ProposeConfiguration(3, "ana", "00ff", RuleSet.empty()));
    }

    @ParameterizedTest
    @MethodSource("commands")
    void commandsRoundTrip(Command command) {
        assertThat(Codec.decode(Codec.encode(command), Command.class), is(equalTo(command)));
    }

    @Test
    void recordedAnswersRoundTripByteForByte() {
        byte[] body = {0, -1, 7};
        Outcome decoded = Codec.decode(
                Codec.encode(new ClaimReplayed(RecordedAnswer.of(200, "text/plain", body))), Outcome.class);
        assertThat(((ClaimReplayed) decoded).answer().body(), is(equalTo(body)));
    }

    @Test
    void failuresRoundTripWithTheirKind() {
        Outcome refused = new Refused(Failure.of(ErrorKind.JOB_UNKNOWN, "j1"));
        assertThat(Codec.decode(Codec.encode(refused), Outcome.class), is(equalTo(refused)));
    }

    @Test
    void leasesRoundTrip() {
        TreeMap<String, Integer> owned = new TreeMap<>();
        owned.put("booking", 3);
        TargetLoad load = new TargetLoad(TargetId.of("t1"), 2_000, 4);
        EntryLease lease = new EntryLease(
                3000,
                4,
                Optional.of(RuleSet.empty()),
                new GrantChanges(3, List.of(), List.of(load), List.of(TargetId.of("t2")), 1_500),
                List.of(),
                List.of(new PeerEntry(EntryId.of("e1"), "surat", "127.0.0.1:1", owned, List.of(1, 2))));
        assertThat(Codec.decode(Codec.encode(lease), EntryLease.class), is(equalTo(lease)));
    }

    @Test
    void malformedBytesAreATypedError() {
        FailureException thrown =
                assertThrows(FailureException.class, () -> Codec.decode(new byte[] {(byte) 0xc1}, Command.class));
        assertThat(thrown.failure().kind(), is(ErrorKind.FRAME_MALFORMED));
    }
}
