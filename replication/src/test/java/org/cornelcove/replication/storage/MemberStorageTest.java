package org.cornelcove.replication.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.replication.core.DiskWrite;
import org.cornelcove.replication.core.EntryKind;
import org.cornelcove.replication.core.LogEntry;
import org.cornelcove.replication.core.MemberRecord;
import org.cornelcove.replication.core.Membership;
import org.cornelcove.replication.core.MemoryFolder;
import org.cornelcove.replication.core.SnapshotMeta;
import org.cornelcove.replication.core.StoredState;
import org.cornelcove.replication.core.Vote;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

class MemberStorageTest {
    private static final int SEGMENT_BYTES = 400;
    private static final String FIRST_SEGMENT = "00000000000000000001.segment";

    private final MemoryFolder folder = new MemoryFolder();

    private MemberStorage open() throws IOException {
        return MemberStorage.open(folder, 7, SEGMENT_BYTES, () -> 99);
    }

    private static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, EntryKind.COMMAND, ("command " + index).getBytes());
    }

    private static DiskWrite append(long id, long truncateFrom, List<LogEntry> entries) {
        return new DiskWrite(
                id, Optional.of(new Vote(id, 7)), truncateFrom, entries, Optional.empty(), Optional.empty(), 0);
    }

    private static DiskWrite appendOne(long index) {
        return append(index, 0, List.of(entry(index, 1)));
    }

    private static DiskWrite saveSnapshot(long id, long index) {
        Membership membership = new Membership(List.of(new MemberRecord(7, "a", true, 99)), new TreeSet<>(List.of(3L)));
        return new DiskWrite(
                id,
                Optional.empty(),
                0,
                List.of(),
                Optional.empty(),
                Optional.of(new DiskWrite.TakenSnapshot(new SnapshotMeta(index, 1, membership), new byte[50])),
                index);
    }

    private void appendAndSync(int entries) throws IOException {
        MemberStorage storage = open();
        for (long index = 1; index <= entries; index++) {
            storage.write(appendOne(index));
            storage.sync();
        }
    }

    static IntStream operations() {
        return IntStream.range(0, 150);
    }

    /** Appends, truncates, snapshots and compacts until the disk fails, then checks what a restart recovers. */
    @ParameterizedTest
    @MethodSource("operations")
    void syncedEntriesSurviveAPowerFailureAtAnyOperation(int operations) throws IOException {
        List<LogEntry> synced = new ArrayList<>();
        long compacted = 0;
        folder.failAfter(operations, false);
        try {
            MemberStorage storage = open();
            for (long id = 1; id <= 30; id++) {
                long next = synced.size() + 1;
                boolean truncates = id % 7 == 0;
                long from = truncates ? next - 2 : next;
                List<LogEntry> entries = LongStream.range(from, next + 3)
                        .mapToObj(i -> entry(i, 1))
                        .toList();
                storage.write(append(id, truncates ? from : 0, entries));
                storage.sync();
                synced.subList((int) from - 1, synced.size()).clear();
                synced.addAll(entries);
                if (id % 10 == 0) {
                    compacted = next - 5;
                    storage.write(saveSnapshot(id, compacted));
                }
            }
        } catch (IOException e) {
            assertThat(e.getMessage(), is("injected"));
        }
        folder.crash(new SplittableRandom(operations));
        StoredState recovered = open().stored();
        long last = recovered.entries().isEmpty()
                ? recovered.snapshot().index()
                : recovered.entries().get(recovered.entries().size() - 1).index();
        assertThat((long) synced.size() - 2, is(lessThanOrEqualTo(last)));
        assertThat(recovered.snapshot().index() >= compacted - 30, is(true));
        assertThat(recovered.incarnation(), is(99L));
    }

    /**
     * Guards against a member that counts entries as durable, and acknowledges them, because an earlier process wrote
     * them: without a sync since then, a power failure loses them.
     */
    @ParameterizedTest
    @MethodSource("operations")
    void whatAMemberStartsFromSurvivesAPowerFailureThoughTheLastProcessEndedBeforeItsSync(int operations)
            throws IOException {
        folder.failAfter(operations, false);
        try {
            MemberStorage storage = open();
            for (long id = 1; id <= 30; id++) {
                storage.write(append(id, 0, List.of(entry(2 * id - 1, id), entry(2 * id, id))));
                storage.sync();
                if (id % 10 == 0) {
                    storage.write(saveSnapshot(id, 2 * id - 5));
                }
            }
        } catch (IOException e) {
            assertThat(e.getMessage(), is("injected"));
        }
        folder.endProcess();
        StoredState started = open().stored();
        StoredState afterPowerFailure =
                MemberStorage.open(folder.copy(), 7, SEGMENT_BYTES, () -> 98).stored();
        assertThat(indexes(afterPowerFailure), is(indexes(started)));
        assertThat(afterPowerFailure.vote(), is(started.vote()));
        assertThat(afterPowerFailure.snapshot(), is(started.snapshot()));
        assertThat(afterPowerFailure.incarnation(), is(started.incarnation()));
    }

    private static List<Long> indexes(StoredState state) {
        return state.entries().stream().map(LogEntry::index).toList();
    }

    @ParameterizedTest(name = "byte {0} of {1} entries")
    @CsvSource({"30, 10", "60, 10", "200, 10", "30, 60", "399, 60"})
    void aDamagedEntryThatWasDurableIsRefused(int position, int entries) throws IOException {
        appendAndSync(entries);
        folder.damage(FIRST_SEGMENT, position);
        FailureException thrown = assertThrows(FailureException.class, this::open);
        assertThat(thrown.failure().kind(), is(ErrorKind.LOG_DAMAGED));
    }

    @ParameterizedTest
    @CsvSource({
        FIRST_SEGMENT + ", LOG_DAMAGED",
        "vote, LOG_DAMAGED",
        "identity, LOG_DAMAGED",
        "snapshot, SNAPSHOT_DAMAGED"
    })
    void aDamagedFileIsRefused(String name, ErrorKind kind) throws IOException {
        appendAndSync(4);
        open().write(saveSnapshot(9, 2));
        folder.damage(name, 12);
        FailureException thrown = assertThrows(FailureException.class, this::open);
        assertThat(thrown.failure().kind(), is(kind));
    }

    @ParameterizedTest
    @CsvSource({FIRST_SEGMENT, "vote"})
    void aMissingFileIsRefused(String name) throws IOException {
        appendAndSync(60);
        folder.delete(name);
        FailureException thrown = assertThrows(FailureException.class, this::open);
        assertThat(thrown.failure().kind(), is(ErrorKind.LOG_DAMAGED));
    }

    @Test
    void theTornEndOfTheLastBatchIsTruncated() throws IOException {
        appendAndSync(3);
        MemberStorage storage = open();
        storage.write(append(9, 0, List.of(entry(4, 1), entry(5, 1), entry(6, 1))));
        folder.damage(FIRST_SEGMENT, 20 + 4 * 42 + 40);
        assertThat(open().stored().entries().size(), is(4));
    }

    @Test
    void theFolderOfAnotherMemberIsRefused() throws IOException {
        appendAndSync(1);
        FailureException thrown =
                assertThrows(FailureException.class, () -> MemberStorage.open(folder, 8, SEGMENT_BYTES, () -> 1));
        assertThat(thrown.failure().kind(), is(ErrorKind.SETTING_INVALID));
    }
}
