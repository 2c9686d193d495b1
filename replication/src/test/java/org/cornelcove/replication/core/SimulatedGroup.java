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

/** A group on simulated time: a network, callers and an operator. The same seed gives the same history. */
final class SimulatedGroup {
    private record Event(long atMs, long order, Runnable task) {}

    private record Request(long member, Kind kind, String command) {}

    private static final int MAX_EVENTS = 300_000;

    private enum Kind {
        PROPOSAL,
        READ,
        OPERATOR
    }

    /** What the network does to messages. */
    static final class Network {
        final Set<Long> cutFrom = new HashSet<>();
        final Set<Long> cutTo = new HashSet<>();
        final Set<Long> slow = new HashSet<>();
        boolean duplicates;
        boolean reorders;
        int lossPercent;
    }

    final Network network = new Network();
    /** Which messages the network loses besides. */
    Predicate<Outgoing> lost = message -> false;

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
    private boolean operatorWaits;
    private long nowMs;
    private int eventCount;
    private long lastOrder;
    private long lastToken;

    SimulatedGroup(long seed, Mutant mutant) {
        this.random = new SplittableRandom(seed);
        this.mutant = mutant;
    }

    /** Starts a new group of so many members. */
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

    /** Starts a dead member again with the setting it was first started with. */
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
                throw new IllegalStateException("messages beget messages without end");
            }
            Event event = events.poll();
            nowMs = event.atMs();
            event.task().run();
        }
        nowMs = untilMs;
    }

    void happened(Step step, SimulatedMember member) {
        observer.accept(step, member);
    }

    void send(SimulatedMember from, Outgoing message) {
        happened(Step.of(message.envelope().body()), from);
        byte[] bytes = MessageCodec.encode(message.envelope());
        int copies = network.duplicates ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long to = Long.parseLong(message.address());
            long delay = 1 + random.nextLong(network.reorders ? 150 : 3);
            delay += network.slow.contains(to) || network.slow.contains(from.id) ? 120 : 0;
            boolean dropped = random.nextInt(100) < network.lossPercent || network.cutFrom.contains(from.id);
            if (!dropped && !lost.test(message)) {
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

    /** Asks any member that thinks it leads. */
    private boolean ask(Kind kind, String command, BiConsumer<ReplicaCore, Long> request) {
        List<SimulatedMember> leading =
                members.values().stream().filter(SimulatedMember::leads).toList();
        if (leading.isEmpty()) {
            return false;
        }
        ask(leading.get(random.nextInt(leading.size())), kind, command, request);
        return true;
    }

    private void ask(SimulatedMember member, Kind kind, String command, BiConsumer<ReplicaCore, Long> request) {
        lastToken++;
        long token = lastToken;
        requests.put(token, new Request(member.id, kind, command));
        if (kind == Kind.READ) {
            history.readBegins(token);
        }
        member.input(c -> request.accept(c, token));
    }

    void propose(String command) {
        if (mutant == Mutant.APPENDS_TWICE) {
            ask(Kind.OPERATOR, "", (core, token) -> core.propose(token, command.getBytes()));
        }
        ask(Kind.PROPOSAL, command, (core, token) -> core.propose(token, command.getBytes()));
    }

    void propose(long member, String command) {
        ask(members.get(member), Kind.PROPOSAL, command, (core, token) -> core.propose(token, command.getBytes()));
    }

    void read(long member) {
        ask(members.get(member), Kind.READ, "", (core, token) -> core.readBarrier(token));
    }

    void read() {
        ask(Kind.READ, "", (core, token) -> core.readBarrier(token));
    }

    /** Lets the operator work through its tasks one after the other, each until it is done. */
    void operate() {
        if (!operatorWaits && !operatorTasks.isEmpty()) {
            operatorWaits = ask(Kind.OPERATOR, "", operatorTasks.peek());
        }
        later(100, this::operate);
    }

    void acknowledged(long token, String command, long index) {
        if (requests.remove(token) != null) {
            history.acknowledged(command, index);
        }
    }

    void answered(CoreEvent event) {
        if (event instanceof CoreEvent.RequestDone done) {
            Request request = requests.remove(done.token());
            if (request != null && request.kind() == Kind.READ) {
                history.readEnds(done.token(), done.index());
            } else if (request != null) {
                operatorWaits = false;
                operatorTasks.poll();
            }
        } else if (event instanceof CoreEvent.RequestFailed failed) {
            Request request = requests.remove(failed.token());
            ErrorKind kind = mutant == Mutant.REFUSES_WHAT_IT_APPENDED
                    ? ErrorKind.NOT_LEADER
                    : failed.failure().kind();
            if (request != null && request.kind() == Kind.PROPOSAL && kind == ErrorKind.NOT_LEADER) {
                history.refused(request.command());
            } else if (request != null && request.kind() == Kind.OPERATOR) {
                operatorWaits = false;
                if (kind == ErrorKind.MEMBER_RETIRED || kind == ErrorKind.MEMBER_UNKNOWN) {
                    operatorTasks.poll();
                }
            }
        }
    }

    void requestsLost(long member) {
        operatorWaits &= requests.values().stream().noneMatch(r -> r.kind() == Kind.OPERATOR && r.member() == member);
        requests.values().removeIf(r -> r.member() == member);
    }

    /** Takes a lost member's place: removes it and adds another under a new id. */
    void replace(long gone, long added) {
        operatorTasks.add((core, token) -> core.removeMember(token, gone));
        operatorTasks.add((core, token) -> core.addMember(token, added, "" + added));
        add(added).start(Membership.EMPTY);
    }

    void lose(SimulatedMember member) {
        if (member.alive()) {
            member.crash();
        }
        members.remove(member.id);
    }

    /** The ids that the newest leader counts as members. */
    Set<Long> memberIds() {
        Set<Long> ids = new TreeSet<>();
        members.values().stream()
                .filter(SimulatedMember::leads)
                .max((a, b) -> Long.compare(a.core.term(), b.core.term()))
                .ifPresent(m -> m.core.membership().members().forEach(r -> ids.add(r.id())));
        return ids;
    }
}
