package org.cornelcove.testkit.fault;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

import org.cornelcove.entry.ControlLink;
import org.cornelcove.model.command.ClaimGranted;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.rule.RuleSet;

/** A deliberate fault in every entry of a cluster, which shows that the checks find violations. */
enum EntryMutant {
    /** The unchanged entry. */
    NONE(UnaryOperator.identity()),
    /** Requests of class {@code once} are dispatched without a claim. */
    NO_CLAIM(NoClaim::new),
    /** The entry reports each configuration version as applied, but keeps the first rules that it received. */
    FIRST_RULES_KEPT(FirstRules::new);

    private final UnaryOperator<ControlLink> wrapper;

    EntryMutant(UnaryOperator<ControlLink> wrapper) {
        this.wrapper = wrapper;
    }

    ControlLink wrap(ControlLink link) {
        return wrapper.apply(link);
    }

    private record NoClaim(ControlLink link) implements ControlLink {
        @Override
        public CompletableFuture<Outcome> execute(Command command) {
            Outcome outcome = command instanceof ClaimOnce ? new ClaimGranted(1) : new Done(1);
            return CompletableFuture.completedFuture(outcome);
        }

        @Override
        public CompletableFuture<EntryLease> heartbeat(EntryHeartbeat heartbeat) {
            return link.heartbeat(heartbeat);
        }
    }

    private static final class FirstRules implements ControlLink {
        private final ControlLink link;
        private final AtomicReference<RuleSet> first = new AtomicReference<>();

        private FirstRules(ControlLink link) {
            this.link = link;
        }

        @Override
        public CompletableFuture<Outcome> execute(Command command) {
            return link.execute(command);
        }

        @Override
        public CompletableFuture<EntryLease> heartbeat(EntryHeartbeat heartbeat) {
            return link.heartbeat(heartbeat).thenApply(this::withFirstRules);
        }

        private EntryLease withFirstRules(EntryLease lease) {
            lease.rules().ifPresent(rules -> first.compareAndSet(null, rules));
            Optional<RuleSet> rules = lease.rules().map(any -> first.get());
            return new EntryLease(
                    lease.leaseMs(),
                    lease.configurationVersion(),
                    rules,
                    lease.targets(),
                    lease.ranges(),
                    lease.peers());
        }
    }
}
