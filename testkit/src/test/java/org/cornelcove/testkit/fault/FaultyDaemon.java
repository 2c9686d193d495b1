package org.cornelcove.testkit.fault;

import org.cornelcove.daemon.Cornelcoved;
import org.cornelcove.daemon.DaemonParts;

/** The daemon on a disk that can go wrong, and with a link to the leader that a mutant may spoil. */
final class FaultyDaemon {
    /** Names the {@link EntryMutant} in the environment; without it there is none. */
    static final String MUTANT_VARIABLE = "CORNELCOVE_TEST_MUTANT";

    private FaultyDaemon() {}

    public static void main(String[] args) {
        EntryMutant mutant =
                EntryMutant.valueOf(System.getenv().getOrDefault(MUTANT_VARIABLE, EntryMutant.NONE.name()));
        System.exit(Cornelcoved.run(new DaemonParts(FaultyFolder::open, mutant::spoil), args));
    }
}
