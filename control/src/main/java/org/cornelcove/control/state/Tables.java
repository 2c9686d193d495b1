package org.cornelcove.control.state;

/**
 * The parts of the durable state, for reading. Valid only within {@link ControlState#read}.
 *
 * @param appliedIndex the log index of the last applied command
 * @param jobs the jobs
 * @param workers the workers
 * @param entries the entries
 * @param ledger the claims
 * @param ownership targets and ranges
 * @param configuration the rules
 */
public record Tables(
        long appliedIndex,
        JobTable jobs,
        WorkerTable workers,
        EntryRegister entries,
        ClaimLedger ledger,
        OwnershipTable ownership,
        ConfigurationRegister configuration) {}
