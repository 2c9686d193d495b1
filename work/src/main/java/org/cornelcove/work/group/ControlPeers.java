package org.cornelcove.work.group;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.cornelcove.wire.CallClient;

/**
 * The control hosts that this process knows: the leader that was told last, the members that were told last, and the
 * seeds, in this order. Seeds may be replaced and members may come and go, so neither list is enough alone.
 */
public final class ControlPeers implements Supplier<List<String>> {
    private static final long CALL_TIMEOUT_MS = 700;

    private record Known(String leader, List<String> members) {}

    private final CallClient client;
    private final String self;
    private final Supplier<List<String>> seeds;
    private final AtomicReference<Known> known = new AtomicReference<>(new Known("", List.of()));

    private ControlPeers(CallClient client, String self, Supplier<List<String>> seeds) {
        this.client = client;
        this.self = self;
        this.seeds = seeds;
    }

    /**
     * Returns peers that know only the seeds, which are read anew each time.
     *
     * @param client makes the calls
     * @param self the address of this process
     * @param seeds tells the addresses of the settings
     * @return peers that know only the seeds, which are read anew each time
     */
    public static ControlPeers create(CallClient client, String self, Supplier<List<String>> seeds) {
        return new ControlPeers(client, self, seeds);
    }

    /**
     * Returns the leader that was told last.
     *
     * @return the leader that was told last
     */
    public Optional<String> leader() {
        return Optional.of(known.get().leader()).filter(address -> !address.isEmpty());
    }

    @Override
    public List<String> get() {
        Known now = known.get();
        Set<String> all = new LinkedHashSet<>();
        if (!now.leader().isEmpty()) {
            all.add(now.leader());
        }
        all.addAll(now.members());
        all.addAll(seeds.get());
        all.remove(self);
        return new ArrayList<>(all);
    }

    /** Asks all that are known; answers that name a leader replace what is known. */
    public void refresh() {
        GroupQuestion question = new GroupQuestion(self);
        get().forEach(address ->
                client.call(address, GroupCalls.VIEW, question, CALL_TIMEOUT_MS).thenAccept(this::learn));
    }

    /** Asks the leader alone, or all when it is not known. */
    public void refreshFromLeader() {
        Optional<String> leading = leader();
        if (leading.isEmpty()) {
            refresh();
            return;
        }
        client.call(leading.get(), GroupCalls.VIEW, new GroupQuestion(self), CALL_TIMEOUT_MS)
                .whenComplete((view, thrown) -> {
                    if (thrown == null && view.leader().equals(leading.get())) {
                        learn(view);
                    } else {
                        refresh();
                    }
                });
    }

    private void learn(GroupView view) {
        if (!view.leader().isEmpty()) {
            known.set(new Known(view.leader(), view.members()));
        }
    }
}
