package org.cornelcove.wire;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ConnectionLossTest {
    private static final Call<byte[], byte[]> RAW = Call.of("raw", byte[].class, byte[].class);
    private static final int CALLERS = 8;
    private static final int LOSSES = 100;
    private static final int MAX_BODY_BYTES = 3000;
    private static final int MAX_IN_FLIGHT = 500;
    private static final long CALL_TIMEOUT_MS = 3000;

    /** Writers race the loss of their connection: no call may throw, and the client has to recover after each loss. */
    @Test
    void callsDuringTheLossOfAConnectionFailAndLaterOnesSucceed() throws Exception {
        CallHandlers handlers = CallHandlers.create().answer(RAW, CompletableFuture::completedFuture);
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        Queue<Throwable> thrown = new ConcurrentLinkedQueue<>();
        Semaphore inFlight = new Semaphore(MAX_IN_FLIGHT);
        AtomicBoolean over = new AtomicBoolean();
        CallServer server = CallServer.open(any, handlers);
        String address = "127.0.0.1:" + server.address().getPort();
        try (CallClient client = CallClient.create()) {
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(new Thread(() -> {
                    while (!over.get()) {
                        try {
                            inFlight.acquireUninterruptibly();
                            byte[] body = new byte[ThreadLocalRandom.current().nextInt(MAX_BODY_BYTES)];
                            client.call(address, RAW, body, CALL_TIMEOUT_MS)
                                    .whenComplete((answer, failure) -> inFlight.release());
                        } catch (RuntimeException e) {
                            inFlight.release();
                            thrown.add(e);
                        }
                    }
                }));
            }
            callers.forEach(Thread::start);
            for (int i = 0; i < LOSSES; i++) {
                TimeUnit.MILLISECONDS.sleep(20);
                server.close();
                server = CallServer.open(server.address(), handlers);
            }
            over.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
            assertThat(thrown.stream().map(Throwable::toString).distinct().toList(), is(empty()));
            await().atMost(5, TimeUnit.SECONDS).until(() -> client.call(address, RAW, new byte[1], 500)
                    .handle((body, failure) -> failure == null)
                    .join());
        } finally {
            over.set(true);
            server.close();
        }
    }

    /** A missing body makes the encoder throw in the middle of a write, as a failure inside the transport does. */
    @Test
    void aWriteThatThrowsEndsItsConnectionAndTheNextCallOpensAnother() {
        CallHandlers handlers = CallHandlers.create().answer(RAW, CompletableFuture::completedFuture);
        try (CallServer server = CallServer.open(new InetSocketAddress("127.0.0.1", 0), handlers);
                CallClient client = CallClient.create()) {
            Peer peer = client.peer("127.0.0.1:" + server.address().getPort());
            byte[] body = Call.toBytes(new byte[10]);
            peer.call("raw", body, CALL_TIMEOUT_MS).join();
            CompletableFuture<byte[]> failed = peer.call("raw", null, CALL_TIMEOUT_MS);
            Throwable thrown = assertThrows(CompletionException.class, failed::join);
            assertThat(
                    FailureException.carriedBy(thrown).map(Failure::kind), is(Optional.of(ErrorKind.PEER_UNREACHABLE)));
            assertThat(peer.call("raw", body, CALL_TIMEOUT_MS).join().length, is(body.length));
        }
    }
}
