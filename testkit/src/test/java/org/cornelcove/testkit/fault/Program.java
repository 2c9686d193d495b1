package org.cornelcove.testkit.fault;

/**
 * The program that the daemons of a cluster run.
 *
 * @param mainClass the fully qualified name of its main class
 * @param mutant the deliberate fault in its entry; only {@link FaultyDaemon} applies it
 */
record Program(String mainClass, EntryMutant mutant) {
    /** The daemon as shipped. */
    static final Program SHIPPED = new Program("org.cornelcove.daemon.Cornelcoved", EntryMutant.NONE);

    /** The daemon on a disk that can fail. */
    static final Program ON_FAULTY_DISK = withMutant(EntryMutant.NONE);

    static Program withMutant(EntryMutant mutant) {
        return new Program(FaultyDaemon.class.getName(), mutant);
    }
}
