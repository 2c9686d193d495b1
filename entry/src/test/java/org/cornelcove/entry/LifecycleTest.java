package org.cornelcove.entry;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.entry.FakeTarget.Behaviour;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.message.PeerEntry;
import org.cornelcove.model.message.TargetGrant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Tests leases, leaving targets, drains, limits and forwarding. */
class LifecycleTest {
    @Test
    void anExpiredLeaseRefusesNewRequestsAndFinishesRunningOnes() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.HOLD))) {
            rig.control.leaseMs = 300;
            rig.open();
            CompletableFuture<HttpResponse<String>> running = rig.sendAsync(rig.post("r1", "safe", "k1", "a"));
            Rig.await(() -> rig.targets.get(0).running.get() == 1);
            rig.control.reachable = false;
            Rig.await(() -> rig.entry.unreadyReason().isPresent());
            HttpResponse<String> refused = rig.send(rig.post("r2", "safe", "k2", "b"));
            assertThat(Rig.error(refused), is(ErrorKind.ENTRY_NOT_READY.number()));
            assertThat(Rig.run(refused), is("not-run"));
            assertThat(rig.send(rig.request("/-/ready").GET().build()).statusCode(), is(503));
            assertThat(rig.send(rig.request("/-/healthy").GET().build()).statusCode(), is(200));
            rig.targets.get(0).releaseHeld();
            assertThat(running.get().body(), is("r1|a"));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = ErrorKind.class,
            names = {"ENTRY_FENCED", "NO_QUORUM"})
    void theReasonForAMissingLeaseIsReported(ErrorKind kind) throws Exception {
        try (Rig rig = new Rig()) {
            rig.control.leaseMs = 300;
            rig.open();
            Failure refusal = Failure.of(kind, "entry-1");
            rig.control.refusal = Optional.of(refusal);
            Rig.await(() -> rig.entry.unreadyReason().orElse("").contains(refusal.message()));
            assertThat(rig.send(rig.request("/-/ready").GET().build()).body(), containsString(refusal.message()));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"leaving", "leaving, announced here", "silent", "no longer owned"})
    void anUnavailableTargetGetsNoNewRequests(String how) throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            FakeTarget target = rig.targets.get(0);
            rig.send(rig.post("r1", "safe", "k", "a"));
            switch (how) {
                case "leaving" -> rig.control.grant(target.announcement(FakeControl.SERVICE, 8, true));
                case "silent" -> rig.control.silenceTargets();
                case "no longer owned" -> {
                    rig.control.targets = List::of;
                }
                default -> rig.entry.announce(target.announcement(FakeControl.SERVICE, 8, true));
            }
            if (!how.contains("here")) {
                int before = rig.control.heartbeats.size();
                Rig.await(() -> rig.control.heartbeats.size() > before + 2);
                Rig.await(() -> !how.equals("silent") || rig.control.silentMs() > Rig.SILENCE_MS + 200);
            }
            HttpResponse<String> answer = rig.send(rig.post("r2", "safe", "k", "b"));
            assertThat(Rig.error(answer), is(ErrorKind.NO_TARGET.number()));
            assertThat(target.log.size(), is(1));
        }
    }

    @Test
    void aDrainInterruptsNoRequest() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.HOLD)).open()) {
            CompletableFuture<HttpResponse<String>> running = rig.sendAsync(rig.post("r1", "safe", "k1", "a"));
            Rig.await(() -> rig.targets.get(0).running.get() == 1);
            CompletableFuture<Void> drained = rig.entry.drain();
            assertThat(rig.send(rig.request("/-/ready").GET().build()).statusCode(), is(503));
            Rig.await(() -> rig.control.heartbeats.stream().anyMatch(beat -> beat.draining()));
            HttpResponse<String> refused = rig.send(rig.post("r2", "safe", "k2", "b"));
            assertThat(Rig.run(refused), is("not-run"));
            assertThat(drained.isDone(), is(false));
            rig.targets.get(0).releaseHeld();
            assertThat(running.get().body(), is("r1|a"));
            Rig.await(drained::isDone);
        }
    }

    @Test
    void aDrainEndsWhenNobodyCanTakeOver() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            rig.control.takenOver = false;
            Rig.await(rig.entry.drain()::isDone);
        }
    }

    @ParameterizedTest
    @CsvSource({"1000, false, 200", "1001, false, 413", "1000, true, 200", "1001, true, 413", "5000000, true, 413"})
    void bodiesAreBounded(int bytes, boolean chunked, int status) throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO))) {
            rig.control.service = FakeControl.rule(2_000, 1_000, 100);
            rig.open();
            byte[] body = new byte[bytes];
            HttpRequest.BodyPublisher publisher = chunked
                    ? HttpRequest.BodyPublishers.ofInputStream(() -> new java.io.ByteArrayInputStream(body))
                    : HttpRequest.BodyPublishers.ofByteArray(body);
            HttpResponse<String> answer = rig.send(rig.request("/q")
                    .header(Headers.CLASS, "safe")
                    .POST(publisher)
                    .build());
            assertThat(answer.body(), answer.statusCode(), is(status));
            assertThat(rig.targets.get(0).log.size(), is(status == 200 ? 1 : 0));
            assertThat(rig.send(rig.post("r2", "safe", "k", "b")).body(), is("r2|b"));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "Cornelcove-Class, sometimes, HEADER_INVALID",
        "Cornelcove-Deadline-Ms, -1, HEADER_INVALID",
        "Cornelcove-Deadline-Ms, 99999999999999999999, HEADER_INVALID",
        "Cornelcove-Tenant, a/b, HEADER_INVALID",
        "Cornelcove-Class, once, KEY_MISSING"
    })
    void headersAreChecked(String header, String value, ErrorKind kind) throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            HttpResponse<String> answer =
                    rig.send(rig.request("/q").header(header, value).GET().build());
            assertThat(answer.statusCode(), is(400));
            assertThat(Rig.error(answer), is(kind.number()));
            assertThat(Rig.run(answer), is("not-run"));
        }
    }

    @Test
    void malformedInputLeavesItServing() throws Exception {
        Random random = new Random(3);
        byte[] good = "POST /q HTTP/1.1\r\nHost: a\r\nCornelcove-Class: safe\r\nContent-Length: 4\r\n\r\nbody"
                .getBytes(StandardCharsets.ISO_8859_1);
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            for (int i = 0; i < 300; i++) {
                byte[] bad = java.util.Arrays.copyOf(good, random.nextInt(good.length) + 1);
                for (int flips = random.nextInt(4); flips >= 0; flips--) {
                    bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
                }
                try (Socket socket = new Socket("127.0.0.1", rig.entry.port())) {
                    OutputStream out = socket.getOutputStream();
                    out.write(bad);
                    socket.shutdownOutput();
                    InputStream in = socket.getInputStream();
                    String answer = new String(in.readNBytes(12), StandardCharsets.ISO_8859_1);
                    assertThat(answer, answer.isEmpty() || answer.matches("HTTP/1\\.[01] [2-5]\\d\\d"));
                } catch (java.net.SocketException e) {
                    // The entry is allowed to close the connection.
                }
            }
            assertThat(rig.send(rig.post("r2", "safe", "k", "b")).body(), is("r2|b"));
            Rig.await(() -> rig.targets.get(0).running.get() == 0);
        }
    }

    @ParameterizedTest
    @CsvSource({"0, 0, 8", "60000, 0, 8", "60000, 3, 5", "60000, 8, 0"})
    void slotsOfAPreviousOwnerAreNotUsed(long holdMs, int busy, int usable) throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.HOLD))) {
            rig.control.service = FakeControl.rule(400, 1_000, 100);
            rig.control.targets = List::of;
            rig.open();
            var announced = rig.targets.get(0).announcement(FakeControl.SERVICE, 8, false);
            var taken = new org.cornelcove.model.message.TargetAnnouncement(
                    announced.target(),
                    announced.service(),
                    announced.address(),
                    announced.availabilityZone(),
                    8,
                    60,
                    busy,
                    false);
            rig.control.targets = () -> List.of(new TargetGrant(taken, 7, 0, 0, holdMs));
            int before = rig.control.heartbeats.size();
            Rig.await(() -> rig.control.heartbeats.size() > before + 3);
            rig.entry.announce(taken);
            List<CompletableFuture<HttpResponse<String>>> all = new java.util.ArrayList<>();
            for (int i = 0; i < 12; i++) {
                all.add(rig.sendAsync(rig.post("r" + i, "safe", "k", "b")));
            }
            for (CompletableFuture<HttpResponse<String>> one : all) {
                assertThat(Rig.run(one.get()), is(one.get().statusCode() == 504 ? "unknown" : "not-run"));
            }
            assertThat(rig.targets.get(0).mostRunning.get(), is(usable));
        }
    }

    /** A new leader has no announcements, and grants no lease without those of the targets that the entry owns. */
    @Test
    void afterAFailedHeartbeatAnnouncementsAreSentAgain() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            rig.entry.announce(rig.targets.get(0).announcement(FakeControl.SERVICE, 8, false));
            Rig.await(() -> heartbeatsWithAnnouncements(rig, 0) > 0 && !lastHasAnnouncements(rig));
            int before = rig.control.heartbeats.size();
            rig.control.refusal = Optional.of(Failure.of(ErrorKind.LEADER_STARTING));
            Rig.await(() -> heartbeatsWithAnnouncements(rig, before) > 1);
            rig.control.refusal = Optional.empty();
            Rig.await(() -> !lastHasAnnouncements(rig));
        }
    }

    private static long heartbeatsWithAnnouncements(Rig rig, int from) {
        return rig.control.heartbeats.stream()
                .skip(from)
                .filter(heartbeat -> !heartbeat.targets().isEmpty())
                .count();
    }

    private static boolean lastHasAnnouncements(Rig rig) {
        return !rig.control
                .heartbeats
                .get(rig.control.heartbeats.size() - 1)
                .targets()
                .isEmpty();
    }

    /**
     * Only slots that the target announced as free after the previous owner could last start a request are used,
     * regardless of which entry received the announcement.
     */
    @ParameterizedTest
    @CsvSource({"100, 300, 3, 5", "300, 100, 3, 0", "100, 300, 8, 0"})
    void announcementsBeforeTheGrantCountFromTheEndOfThePreviousOwner(
            long silentMs, long previousOverMs, int busy, int usable) throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.HOLD))) {
            rig.control.service = FakeControl.rule(400, 1_000, 100);
            rig.control.targets = List::of;
            rig.open();
            var announced = rig.targets.get(0).announcement(FakeControl.SERVICE, 8, false);
            var taken = new org.cornelcove.model.message.TargetAnnouncement(
                    announced.target(),
                    announced.service(),
                    announced.address(),
                    announced.availabilityZone(),
                    8,
                    60,
                    busy,
                    false);
            rig.control.silenceTargets();
            rig.control.targets = () -> List.of(new TargetGrant(taken, 7, silentMs, previousOverMs, 60_000));
            int before = rig.control.heartbeats.size();
            Rig.await(() -> rig.control.heartbeats.size() > before + 3);
            List<CompletableFuture<HttpResponse<String>>> all = new java.util.ArrayList<>();
            for (int i = 0; i < 12; i++) {
                all.add(rig.sendAsync(rig.post("r" + i, "safe", "k", "b")));
            }
            for (CompletableFuture<HttpResponse<String>> one : all) {
                one.get();
            }
            assertThat(rig.targets.get(0).mostRunning.get(), is(usable));
        }
    }

    @ParameterizedTest
    @CsvSource({"true, 200, done", "false, 503, not-run"})
    void withoutOwnTargetsAPeerIsAskedOnce(boolean reachable, int status, String run) throws Exception {
        try (Rig rig = new Rig();
                Rig other =
                        new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            rig.control.peers = List.of(new PeerEntry(
                    EntryId.of("entry-2"), "zone-b", "peer", new TreeMap<>(java.util.Map.of("booking", 1)), List.of()));
            rig.peers = (address, request) -> reachable
                    ? other.entry.handleForwarded(request)
                    : CompletableFuture.failedFuture(
                            Failure.of(ErrorKind.CALL_NOT_SENT, address, "down").asException());
            rig.open();
            for (String requestClass : List.of("safe", "exclusive", "once")) {
                HttpResponse<String> answer = rig.send(rig.post("r1", requestClass, "k" + requestClass, "b"));
                assertThat(answer.body(), answer.statusCode(), is(status));
                assertThat(Rig.run(answer), is(run));
            }
            assertThat(other.control.commands.size(), is(0));
            assertThat(rig.control.commands.size(), is(2));
        }
    }

    /** A peer that took the request may have run it, also if no target is left for another attempt. */
    @Test
    void aSafeRequestWhoseForwardGotNoAnswerIsNotToldNotRun() throws Exception {
        try (Rig rig = new Rig()) {
            rig.control.peers = List.of(new PeerEntry(
                    EntryId.of("entry-2"), "zone-b", "peer", new TreeMap<>(java.util.Map.of("booking", 1)), List.of()));
            rig.peers = (address, request) ->
                    CompletableFuture.failedFuture(Failure.of(ErrorKind.PEER_UNREACHABLE, address, "connection lost")
                            .asException());
            rig.open();
            HttpResponse<String> answer = rig.send(rig.post("r1", "safe", "k", "b"));
            assertThat(Rig.error(answer), is(ErrorKind.NO_TARGET.number()));
            assertThat(Rig.run(answer), is("unknown"));
        }
    }

    @Test
    void aFailingTargetIsEjectedAndTheRestServes() throws Exception {
        FakeTarget failing = FakeTarget.start("t1", Behaviour.REFUSE);
        FakeTarget good = FakeTarget.start("t2", Behaviour.ECHO);
        try (Rig rig = new Rig().with(failing, good).open()) {
            for (int i = 0; i < 20; i++) {
                assertThat(rig.send(rig.post("r" + i, "safe", "k", "b")).statusCode(), is(200));
            }
            assertThat(failing.log.size(), is(3));
            assertThat(rig.entry.metrics().counter("targets.ejected").getCount(), is(1L));
        }
    }

    @Test
    void aFullQueueRefusesAtOnceAndSpreadsTheReturn() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.HOLD))) {
            rig.control.service = FakeControl.rule(5_000, 1_000, 4);
            rig.open();
            List<CompletableFuture<HttpResponse<String>>> all = new java.util.ArrayList<>();
            for (int i = 0; i < 40; i++) {
                all.add(rig.sendAsync(rig.post("r" + i, "safe", "k", "b")));
            }
            Rig.await(() -> all.stream().filter(CompletableFuture::isDone).count() == 28);
            Rig.await(() -> rig.targets.get(0).running.get() == 8);
            rig.targets.get(0).releaseHeld();
            java.util.Set<String> returns = new java.util.TreeSet<>();
            for (CompletableFuture<HttpResponse<String>> one : all) {
                if (one.get().statusCode() != 200) {
                    assertThat(Rig.error(one.get()), is(ErrorKind.QUEUE_FULL.number()));
                    returns.add(one.get().headers().firstValue("retry-after").orElseThrow());
                }
            }
            assertThat(1, lessThan(returns.size()));
            assertThat(rig.targets.get(0).mostRunning.get(), is(8));
        }
    }

    /** A run may outlive its deadline; its key stays locked until the target reports that it has finished. */
    @Test
    void anExclusiveKeyIsHeldWhileTheTargetMayRunIt() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.HOLD))) {
            rig.control.service = FakeControl.rule(150, 1_000, 100);
            rig.open();
            CompletableFuture<HttpResponse<String>> first = rig.sendAsync(rig.post("r1", "exclusive", "k", "a"));
            Rig.await(() -> rig.targets.get(0).running.get() == 1);
            rig.grantAll(8);
            assertThat(first.get().statusCode(), is(504));
            long timedOutNs = System.nanoTime();
            Rig.await(() -> System.nanoTime() - timedOutNs > 1_000_000_000);
            HttpResponse<String> second = rig.send(rig.post("r2", "exclusive", "k", "a"));
            assertThat(Rig.error(second), is(ErrorKind.KEY_IN_FLIGHT.number()));
            assertThat(rig.targets.get(0).log.size(), is(1));
            rig.targets.get(0).releaseHeld();
            Rig.await(() -> rig.targets.get(0).running.get() == 0);
            rig.entry.announce(rig.targets.get(0).announcement(FakeControl.SERVICE, 8, false));
            Rig.await(() -> rig.send(rig.post("r3", "exclusive", "k", "a")).statusCode() == 200);
        }
    }

    @ParameterizedTest
    @CsvSource({"true, 200", "false, 503"})
    void whatWaitsGoesOnWhenTheTargetsAreHandedOver(boolean peer, int status) throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.HOLD));
                Rig other =
                        new Rig().with(FakeTarget.start("t2", Behaviour.ECHO)).open()) {
            rig.control.service = FakeControl.rule(20_000, 1_000, 100);
            rig.peers = (address, request) -> other.entry.handleForwarded(request);
            rig.grantAll(1);
            rig.open();
            CompletableFuture<HttpResponse<String>> running = rig.sendAsync(rig.post("r1", "safe", "k", "a"));
            Rig.await(() -> rig.targets.get(0).running.get() == 1);
            CompletableFuture<HttpResponse<String>> queued = rig.sendAsync(rig.post("r2", "safe", "k", "b"));
            Rig.await(() -> rig.entry.explain("r2").toString().contains("waits"));
            rig.control.peers = peer
                    ? List.of(new PeerEntry(
                            EntryId.of("entry-2"),
                            "zone-a",
                            "peer",
                            new TreeMap<>(java.util.Map.of("booking", 1)),
                            List.of()))
                    : List.of();
            rig.control.targets = List::of;
            assertThat(queued.get().body(), queued.get().statusCode(), is(status));
            assertThat(Rig.run(queued.get()), is(peer ? "done" : "not-run"));
            rig.targets.get(0).releaseHeld();
            assertThat(running.get().body(), is("r1|a"));
        }
    }

    @Test
    void aLinkThatThrowsLeavesNoRequestUnanswered() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            rig.control.onExecute = outcome -> {
                throw new IllegalStateException("broken link");
            };
            HttpResponse<String> answer = rig.send(rig.post("r1", "once", "k", "a"));
            assertThat(answer.statusCode(), is(500));
            assertThat(Rig.run(answer), is("unknown"));
            assertThat(rig.targets.get(0).log.size(), is(0));
            rig.control.onExecute = outcome -> outcome;
            rig.entry.drain().get(20, java.util.concurrent.TimeUnit.SECONDS);
        }
    }
}
