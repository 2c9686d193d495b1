package org.cornelcove.testkit.fault;

import org.cornelcove.daemon.Cornelcoved;
import org.cornelcove.daemon.DaemonParts;

/** The daemon with a data folder that can fail and with its link to the leader wrapped by a mutant. */
final class FaultyDaemon {
    /** Environment variable with the name of the {@link EntryMutant}; {@link EntryMutant#NONE} if it is not set. */
    static final String MUTANT_VARIABLE = "CORNELCOVE_TEST_MUTANT";

    private FaultyDaemon() {}

    public static void main(String[] args) {
        EntryMutant mutant =
                EntryMutant.valueOf(System.getenv().getOrDefault(MUTANT_VARIABLE, EntryMutant.NONE.name()));
        System.exit(Cornelcoved.run(new DaemonParts(FaultyFolder::open, mutant::wrap), args));
    }
}
