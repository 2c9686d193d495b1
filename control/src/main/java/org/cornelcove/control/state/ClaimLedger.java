package org.cornelcove.control.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcove.model.command.AbandonClaims;
import org.cornelcove.model.command.ClaimGranted;
import org.cornelcove.model.command.ClaimInProgress;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.ClaimReplayed;
import org.cornelcove.model.command.ClaimUnknown;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.ExpireClaims;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.RecordOutcome;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.ReleaseClaim;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.EntryId;

/**
 * The claims on idempotency keys: at most one grant for each key, from the claim until it expires.
 *
 * <p>Only {@code ClaimOnce} on a key without a claim is granted. A repeated {@code ClaimOnce}, also by the same holder,
 * finds the claim open and gets {@link ClaimInProgress}: the ledger can't distinguish a resend whose first answer was
 * lost from a second caller, and a second grant to the first holder could cause a second run. An entry that did not
 * receive the answer to its claim therefore never dispatches, and releases the claim by its number.
 *
 * <p>A claim's number is unique within its entry, and a release contains it. Without it a delayed copy of an earlier
 * release could free the key while a later grant is being dispatched. A released claim is kept until it expires, so
 * that a claim which arrives after its own release is refused; otherwise it would stay open without a holder.
 *
 * <p>Example: claim 7 is granted, the target refuses, claim 7 is released, and claim 9 is granted and dispatched. A
 * late copy of release 7 is refused, since the claim is now number 9.
 *
 * <p>Bounds: a full ledger refuses new claims, because dropping a decided claim before its time to live would let a
 * request with that key run again. An answer that exceeds a limit is not kept; its claim becomes unknown.
 */
public final class ClaimLedger {
    /** The maximum number of claims. */
    public static final int MAX_CLAIMS = 50_000;

    /** The maximum estimated memory of all claims, in bytes. */
    public static final long MAX_BYTES = 24L << 20;

    /** The maximum size of an answer that is kept for replay, in bytes. */
    public static final long MAX_ANSWER_BYTES = 256L << 10;

    private final EntryRegister entries;
    private final Limits limits;
    private final Map<String, Claim> claims = new HashMap<>();
    private final Map<EntryId, TreeSet<String>> openByEntry = new HashMap<>();

    /** Decided claims by the log index at which they were decided; one command may decide several. */
    private final TreeMap<Long, TreeSet<String>> decided = new TreeMap<>();

    private long bytes;

    ClaimLedger(EntryRegister entries, Limits limits) {
        this.entries = entries;
        this.limits = limits;
    }

    Outcome claim(long logIndex, ClaimOnce command) {
        Optional<Refused> refused = entries.checkIncarnation(command.entry(), command.incarnation());
        if (refused.isPresent()) {
            return refused.get();
        }
        Claim existing = claims.get(command.key());
        boolean repeated = existing != null
                && isSameClaim(existing, command.entry(), command.incarnation(), command.claimNumber());
        if (repeated && existing.state() == ClaimState.OPEN && existing.digest().equals(command.digest())) {
            // The entry lost the first answer, and has dispatched nothing under this claim.
            return new ClaimGranted(logIndex);
        }
        if (existing != null && existing.state() != ClaimState.RELEASED) {
            return outcomeOfExisting(existing, command);
        }
        if (repeated) {
            return notHeld(command.key(), command.entry());
        }
        Claim claim = Claim.open(command);
        if (existing == null && claims.size() >= limits.maxClaims() || bytes + claim.sizeBytes() > limits.maxBytes()) {
            return new Refused(Failure.of(ErrorKind.LEDGER_FULL, claims.size()));
        }
        put(claim);
        return new ClaimGranted(logIndex);
    }

    private static Outcome outcomeOfExisting(Claim existing, ClaimOnce command) {
        if (!existing.digest().equals(command.digest())) {
            return new Refused(Failure.of(ErrorKind.KEY_REUSED, command.key()));
        }
        switch (existing.state()) {
            case OPEN:
                return new ClaimInProgress(existing.entry());
            case RECORDED:
                return new ClaimReplayed(existing.answer().get());
            case UNKNOWN:
            default:
                return new ClaimUnknown(existing.decidedIndex());
        }
    }

    Outcome release(long logIndex, ReleaseClaim command) {
        Optional<Refused> refused = entries.checkIncarnation(command.entry(), command.incarnation());
        if (refused.isPresent()) {
            return refused.get();
        }
        Claim existing = claims.get(command.key());
        if (existing != null && !isSameClaim(existing, command.entry(), command.incarnation(), command.claimNumber())) {
            return notHeld(command.key(), command.entry());
        }
        if (existing != null && existing.state() == ClaimState.RELEASED) {
            return new Done(existing.decidedIndex());
        }
        if (existing != null && existing.state() != ClaimState.OPEN) {
            return notHeld(command.key(), command.entry());
        }
        put(Claim.released(command, logIndex));
        return new Done(logIndex);
    }

    /**
     * Records the answer of the holder, also if the claim was marked unknown in the meantime, since the holder has the
     * actual outcome. An answer that is already recorded is not replaced.
     */
    Outcome record(long logIndex, RecordOutcome command) {
        Optional<Refused> refused = entries.checkIncarnation(command.entry(), command.incarnation());
        if (refused.isPresent()) {
            return refused.get();
        }
        Claim existing = claims.get(command.key());
        if (existing == null
                || existing.state() == ClaimState.RELEASED
                || !heldBy(existing, command.entry(), command.incarnation())) {
            return notHeld(command.key(), command.entry());
        }
        if (existing.state() == ClaimState.RECORDED) {
            return new Done(existing.decidedIndex());
        }
        if (command.answer().isPresent()) {
            Claim recorded = existing.recorded(command.answer().get(), logIndex);
            if (fitsLimits(existing, recorded)) {
                put(recorded);
                return new Done(logIndex);
            }
        }
        return markUnknown(existing, logIndex);
    }

    private ClaimUnknown markUnknown(Claim existing, long logIndex) {
        if (existing.state() == ClaimState.UNKNOWN) {
            return new ClaimUnknown(existing.decidedIndex());
        }
        put(existing.unknown(logIndex));
        return new ClaimUnknown(logIndex);
    }

    private boolean fitsLimits(Claim existing, Claim recorded) {
        long answerBytes = Claim.sizeBytes(recorded.answer().get());
        return answerBytes <= limits.maxAnswerBytes()
                && bytes - existing.sizeBytes() + recorded.sizeBytes() <= limits.maxBytes();
    }

    Outcome abandon(long logIndex, AbandonClaims command) {
        for (String key : List.copyOf(openByEntry.getOrDefault(command.entry(), new TreeSet<>()))) {
            Claim claim = claims.get(key);
            if (claim.incarnation() < command.beforeIncarnation()) {
                put(claim.unknown(logIndex));
            }
        }
        return new Done(logIndex);
    }

    Outcome expire(long logIndex, ExpireClaims command) {
        List<String> keys = new ArrayList<>();
        decided.headMap(command.decidedUpToIndex(), true).values().forEach(keys::addAll);
        for (String key : keys) {
            remove(claims.get(key));
        }
        return new Done(logIndex);
    }

    private void put(Claim claim) {
        Claim previous = claims.get(claim.key());
        if (previous != null) {
            remove(previous);
        }
        claims.put(claim.key(), claim);
        bytes += claim.sizeBytes();
        if (claim.state() == ClaimState.OPEN) {
            openByEntry.computeIfAbsent(claim.entry(), any -> new TreeSet<>()).add(claim.key());
        } else {
            decided.computeIfAbsent(claim.decidedIndex(), any -> new TreeSet<>())
                    .add(claim.key());
        }
    }

    private void remove(Claim claim) {
        claims.remove(claim.key());
        bytes -= claim.sizeBytes();
        if (claim.state() == ClaimState.OPEN) {
            removeFromSet(openByEntry, claim.entry(), claim.key());
        } else {
            removeFromSet(decided, claim.decidedIndex(), claim.key());
        }
    }

    private static <K> void removeFromSet(Map<K, TreeSet<String>> sets, K id, String key) {
        TreeSet<String> keys = sets.get(id);
        keys.remove(key);
        if (keys.isEmpty()) {
            sets.remove(id);
        }
    }

    private static boolean heldBy(Claim claim, EntryId entry, long incarnation) {
        return claim.entry().equals(entry) && claim.incarnation() == incarnation;
    }

    private static boolean isSameClaim(Claim claim, EntryId entry, long incarnation, long number) {
        return heldBy(claim, entry, incarnation) && claim.claimNumber() == number;
    }

    private static Refused notHeld(String key, EntryId entry) {
        return new Refused(Failure.of(ErrorKind.CLAIM_NOT_HELD, key, entry));
    }

    void restore(Collection<Claim> records) {
        claims.clear();
        openByEntry.clear();
        decided.clear();
        bytes = 0;
        records.forEach(this::put);
    }

    /**
     * Returns all claims, in no particular order.
     *
     * @return a copy, empty if there are none
     */
    public Collection<Claim> all() {
        return List.copyOf(claims.values());
    }

    /**
     * Returns how many claims are kept.
     *
     * @return the number of claims in any state
     */
    public int size() {
        return claims.size();
    }

    /**
     * Returns the estimated memory of all claims.
     *
     * @return the size in bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns whether an entry has open claims of incarnations below the given one.
     *
     * @param entry the entry
     * @param incarnation the first incarnation that is not checked
     * @return false also for an unknown entry
     */
    public boolean hasOpenBefore(EntryId entry, long incarnation) {
        return openByEntry.getOrDefault(entry, new TreeSet<>()).stream()
                .anyMatch(key -> claims.get(key).incarnation() < incarnation);
    }

    /**
     * Returns the log index of the claim that was decided first, among those kept.
     *
     * @return the index, empty if no decided claim is kept
     */
    public Optional<Long> oldestDecidedIndex() {
        return decided.isEmpty() ? Optional.empty() : Optional.of(decided.firstKey());
    }
}
