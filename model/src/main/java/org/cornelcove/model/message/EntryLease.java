package org.cornelcove.model.message;

import java.util.List;
import java.util.Optional;

import org.cornelcove.model.rule.RuleSet;

/**
 * The leader's answer to an entry's heartbeat. The entry counts the lease from the instant at which it sent the
 * heartbeat, so that the lease never ends later at the entry than at the leader.
 *
 * @param leaseMs how long the entry may serve without a further answer, in milliseconds
 * @param configurationVersion the newest accepted version
 * @param rules the rules of that version, present when the entry applies an older one
 * @param targets the targets that it owns, as a full list or as changes
 * @param ranges all key ranges that it owns
 * @param peers the other live entries
 */
public record EntryLease(
        long leaseMs,
        long configurationVersion,
        Optional<RuleSet> rules,
        GrantChanges targets,
        List<RangeGrant> ranges,
        List<PeerEntry> peers) {}
