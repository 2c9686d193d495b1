package org.cornelcove.testkit.fault;

/**
 * Which program the daemons of a cluster are.
 *
 * @param mainClass its main class
 * @param mutant what is wrong with its entry
 */
record Program(String mainClass, EntryMutant mutant) {
    /** The one that users run. */
    static final Program SHIPPED = new Program("org.cornelcove.daemon.Cornelcoved", EntryMutant.NONE);

    /** The same on a disk that can go wrong. */
    static final Program ON_FAULTY_DISK = spoiled(EntryMutant.NONE);

    static Program spoiled(EntryMutant mutant) {
        return new Program(FaultyDaemon.class.getName(), mutant);
    }
}
