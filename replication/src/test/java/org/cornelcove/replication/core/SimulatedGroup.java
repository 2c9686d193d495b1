package org.cornelcove.replication.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import org.cornelcove.model.error.ErrorKind;

/** A group in simulated time with its network, callers and operator. The same seed gives the same history. */
final class SimulatedGroup {
    private record Event(long atMs, long order, Runnable task) {}

    private record Request(long member, Kind kind, String command) {}

    private static final int MAX_EVENTS = 300_000;

    private enum Kind {
        PROPOSAL,
        READ,
        OPERATOR
    }

    /** Faults of the network. */
    static final class Network {
        final Set<Long> cutFrom = new HashSet<>();
        final Set<Long> cutTo = new HashSet<>();
        final Set<Long> slow = new HashSet<>();
        boolean duplicates;
        boolean reorders;
        int lossPercent;
    }

    final Network network = new Network();
    /** Selects further messages to drop. */
    Predicate<Outgoing> dropFilter = message -> false;

    int maxDiskMs = 4;
    int maxAppendBytes = 1 << 20;
    final TreeMap<Long, SimulatedMember> members = new TreeMap<>();
    final ArrayDeque<BiConsumer<ReplicaCore, Long>> operatorTasks = new ArrayDeque<>();
    BiConsumer<Step, SimulatedMember> observer = (step, member) -> {};
    private final SplittableRandom random;
    private final Mutant mutant;
    private final History history = new History();
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Long.compare(a.atMs(), b.atMs()) : Long.compare(a.order(), b.order()));
    private final Map<Long, Request> requests = new HashMap<>();
    private Membership initial = Membership.EMPTY;
    private boolean operatorBusy;
    private long nowMs;
    private int eventCount;
    private long lastOrder;
    private long lastToken;

    SimulatedGroup(long seed, Mutant mutant) {
        this.random = new SplittableRandom(seed);
        this.mutant = mutant;
    }

    /** Starts a new group of {@code size} members. */
    static SimulatedGroup of(int size, long seed, Mutant mutant) {
        SimulatedGroup group = new SimulatedGroup(seed, mutant);
        for (long id = 1; id <= size; id++) {
            group.initial = group.initial.with(new MemberRecord(id, "" + id, true, MemberRecord.UNBOUND));
        }
        for (long id = 1; id <= size; id++) {
            group.add(id).start(group.initial);
        }
        return group;
    }

    SimulatedMember add(long id) {
        members.put(id, new SimulatedMember(this, id));
        return members.get(id);
    }

    /** Restarts a stopped member with its original initial membership. */
    void restart(SimulatedMember member) {
        if (!member.alive() && !member.retired && members.get(member.id) == member) {
            member.start(initial.find(member.id).isPresent() ? initial : Membership.EMPTY);
        }
    }

    long nowMs() {
        return nowMs;
    }

    SplittableRandom random() {
        return random;
    }

    Mutant mutant() {
        return mutant;
    }

    History history() {
        return history;
    }

    CoreOptions optionsOf(long id) {
        return new CoreOptions(id, "" + id, 100, 400, 800, 360, 40, 1 << 20, 20, 30, maxAppendBytes, random.nextLong());
    }

    void later(long delayMs, Runnable task) {
        lastOrder++;
        events.add(new Event(nowMs + delayMs, lastOrder, task));
    }

    void runUntil(long untilMs) {
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            eventCount++;
            if (eventCount > MAX_EVENTS) {
                throw new IllegalStateException("too many events: messages trigger further messages without end");
            }
            Event event = events.poll();
            nowMs = event.atMs();
            event.task().run();
        }
        nowMs = untilMs;
    }

    void onStep(Step step, SimulatedMember member) {
        observer.accept(step, member);
    }

    void send(SimulatedMember from, Outgoing message) {
        onStep(Step.of(message.envelope().body()), from);
        byte[] bytes = MessageCodec.encode(message.envelope());
        int copies = network.duplicates ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long to = Long.parseLong(message.address());
            long delay = 1 + random.nextLong(network.reorders ? 150 : 3);
            delay += network.slow.contains(to) || network.slow.contains(from.id) ? 120 : 0;
            boolean dropped = random.nextInt(100) < network.lossPercent || network.cutFrom.contains(from.id);
            if (!dropped && !dropFilter.test(message)) {
                later(delay, () -> deliver(to, bytes));
            }
        }
    }

    private void deliver(long to, byte[] bytes) {
        SimulatedMember member = members.get(to);
        if (member != null && !network.cutTo.contains(to)) {
            member.receive(MessageCodec.decode(bytes));
        }
    }

    // Callers

    /** Submits a request to a random member that considers itself the leader; returns false if there is none. */
    private boolean submit(Kind kind, String command, BiConsumer<ReplicaCore, Long> request) {
        List<SimulatedMember> leading =
                members.values().stream().filter(SimulatedMember::leads).toList();
        if (leading.isEmpty()) {
            return false;
        }
        submit(leading.get(random.nextInt(leading.size())), kind, command, request);
        return true;
    }

    private void submit(SimulatedMember member, Kind kind, String command, BiConsumer<ReplicaCore, Long> request) {
        lastToken++;
        long token = lastToken;
        requests.put(token, new Request(member.id, kind, command));
        if (kind == Kind.READ) {
            history.readStarted(token);
        }
        member.input(c -> request.accept(c, token));
    }

    void propose(String command) {
        if (mutant == Mutant.APPENDS_TWICE) {
            submit(Kind.OPERATOR, "", (core, token) -> core.propose(token, command.getBytes()));
        }
        submit(Kind.PROPOSAL, command, (core, token) -> core.propose(token, command.getBytes()));
    }

    void propose(long member, String command) {
        submit(members.get(member), Kind.PROPOSAL, command, (core, token) -> core.propose(token, command.getBytes()));
    }

    void read(long member) {
        submit(members.get(member), Kind.READ, "", (core, token) -> core.readBarrier(token));
    }

    void read() {
        submit(Kind.READ, "", (core, token) -> core.readBarrier(token));
    }

    /** Runs the operator's tasks one at a time, each repeated until it is done. */
    void operate() {
        if (!operatorBusy && !operatorTasks.isEmpty()) {
            operatorBusy = submit(Kind.OPERATOR, "", operatorTasks.peek());
        }
        later(100, this::operate);
    }

    void acknowledged(long token, String command, long index) {
        if (requests.remove(token) != null) {
            history.recordAcknowledged(command, index);
        }
    }

    void answered(CoreEvent event) {
        if (event instanceof CoreEvent.RequestDone done) {
            Request request = requests.remove(done.token());
            if (request != null && request.kind() == Kind.READ) {
                history.readCompleted(done.token(), done.index());
            } else if (request != null) {
                operatorBusy = false;
                operatorTasks.poll();
            }
        } else if (event instanceof CoreEvent.RequestFailed failed) {
            Request request = requests.remove(failed.token());
            ErrorKind kind = mutant == Mutant.REFUSES_WHAT_IT_APPENDED
                    ? ErrorKind.NOT_LEADER
                    : failed.failure().kind();
            if (request != null && request.kind() == Kind.PROPOSAL && kind == ErrorKind.NOT_LEADER) {
                history.recordRefused(request.command());
            } else if (request != null && request.kind() == Kind.OPERATOR) {
                operatorBusy = false;
                if (kind == ErrorKind.MEMBER_RETIRED || kind == ErrorKind.MEMBER_UNKNOWN) {
                    operatorTasks.poll();
                }
            }
        }
    }

    void dropRequests(long member) {
        operatorBusy &= requests.values().stream().noneMatch(r -> r.kind() == Kind.OPERATOR && r.member() == member);
        requests.values().removeIf(r -> r.member() == member);
    }

    /** Starts a member under a new id and queues the removal of the destroyed one and the addition of the new. */
    void replace(long removed, long added) {
        operatorTasks.add((core, token) -> core.removeMember(token, removed));
        operatorTasks.add((core, token) -> core.addMember(token, added, "" + added));
        add(added).start(Membership.EMPTY);
    }

    void destroy(SimulatedMember member) {
        if (member.alive()) {
            member.crash();
        }
        members.remove(member.id);
    }

    /** Returns the member ids in the membership of the leader with the highest term. */
    Set<Long> memberIds() {
        Set<Long> ids = new TreeSet<>();
        members.values().stream()
                .filter(SimulatedMember::leads)
                .max((a, b) -> Long.compare(a.core.term(), b.core.term()))
                .ifPresent(m -> m.core.membership().members().forEach(r -> ids.add(r.id())));
        return ids;
    }
}
