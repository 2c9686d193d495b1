package org.cornelcove.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

class CallTest {
    private static final Call<String, String> ECHO = Call.of("echo", String.class, String.class);
    private static final Call<byte[], byte[]> RAW = Call.of("raw", byte[].class, byte[].class);
    private static final Call<String, String> SILENT = Call.of("silent", String.class, String.class);
    private static final Call<String, String> REFUSE = Call.of("refuse", String.class, String.class);
    private static final Call<String, String> NOTICE = Call.of("note", String.class, String.class);
    private static final Call<String, String> ABSENT = Call.of("absent", String.class, String.class);
    private static final long LONG_MS = 20_000;

    private final AtomicReference<String> lastNotice = new AtomicReference<>();
    private CallServer server;
    private CallClient client;
    private String address;

    @BeforeEach
    void open() {
        CallHandlers handlers = CallHandlers.create()
                .answer(ECHO, CompletableFuture::completedFuture)
                .answer(RAW, CompletableFuture::completedFuture)
                .answer(SILENT, text -> new CompletableFuture<>())
                .answer(REFUSE, text -> {
                    throw Failure.of(ErrorKind.NOT_LEADER, text).asException();
                })
                .take(NOTICE, lastNotice::set);
        server = CallServer.open(new InetSocketAddress("127.0.0.1", 0), handlers);
        address = "127.0.0.1:" + server.address().getPort();
        client = CallClient.create();
    }

    @AfterEach
    void close() {
        client.close();
        server.close();
    }

    @Test
    void manyCallsAtOnceEachGetTheirOwnAnswer() {
        List<CompletableFuture<String>> answers = IntStream.range(0, 2000)
                .mapToObj(i -> client.call(address, ECHO, "m" + i, LONG_MS))
                .toList();
        for (int i = 0; i < answers.size(); i++) {
            assertThat(answers.get(i).join(), is("m" + i));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 4096, 5 << 20})
    void bodiesOfAnySizeArriveUnchanged(int sizeBytes) {
        byte[] body = new byte[sizeBytes];
        new Random(1).nextBytes(body);
        assertThat(client.call(address, RAW, body, LONG_MS).join(), is(body));
    }

    @Test
    void noticesArrive() {
        client.send(address, NOTICE, "hello");
        await().until(() -> "hello".equals(lastNotice.get()));
    }

    @Test
    void aFailureOfTheHandlerArrivesWithItsKind() {
        assertThat(kindOf(client.call(address, REFUSE, "c2", LONG_MS)), is(ErrorKind.NOT_LEADER));
    }

    @Test
    void anUnknownNameIsATypedError() {
        assertThat(kindOf(client.call(address, ABSENT, "", LONG_MS)), is(ErrorKind.METHOD_UNKNOWN));
    }

    @Test
    void noAnswerInTimeIsATimeout() {
        assertThat(kindOf(client.call(address, SILENT, "", 50)), is(ErrorKind.CALL_TIMEOUT));
    }

    @Test
    void aCallToAClosedPortFailsAsNotSent() {
        server.close();
        assertThat(kindOf(client.call(address, ECHO, "", LONG_MS)), is(ErrorKind.CALL_NOT_SENT));
    }

    @Test
    void noCallConnectsAfterTheServerHasClosed() {
        for (int i = 0; i < 200; i++) {
            CallServer closed = CallServer.open(
                    new InetSocketAddress("127.0.0.1", 0),
                    CallHandlers.create().answer(ECHO, CompletableFuture::completedFuture));
            closed.close();
            String closedAddress = "127.0.0.1:" + closed.address().getPort();
            assertThat(kindOf(client.call(closedAddress, ECHO, "", LONG_MS)), is(ErrorKind.CALL_NOT_SENT));
        }
    }

    @Test
    void aConnectionLostDuringACallIsNotReportedAsNotSent() {
        CompletableFuture<String> answer = client.call(address, SILENT, "", LONG_MS);
        client.call(address, ECHO, "arrived", LONG_MS).join();
        server.close();
        assertThat(kindOf(answer), is(ErrorKind.PEER_UNREACHABLE));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void malformedFramesDoNotStopTheServer(int seed) throws Exception {
        Random random = new Random(seed);
        for (int i = 0; i < 50; i++) {
            byte[] junk = new byte[1 + random.nextInt(300)];
            random.nextBytes(junk);
            if (i % 2 == 0) {
                int claimedBytes = Math.max(0, junk.length - 4);
                junk = withLength(junk, claimedBytes);
            }
            try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
                socket.getOutputStream().write(junk);
            }
        }
        assertThat(client.call(address, ECHO, "still here", LONG_MS).join(), is("still here"));
        assertThat(lastNotice.get(), is(nullValue()));
    }

    private static byte[] withLength(byte[] junk, int lengthBytes) {
        if (junk.length >= 4) {
            junk[0] = 0;
            junk[1] = 0;
            junk[2] = (byte) (lengthBytes >> 8);
            junk[3] = (byte) lengthBytes;
        }
        return junk;
    }

    private static ErrorKind kindOf(CompletableFuture<?> answer) {
        Throwable thrown = assertThrows(CompletionException.class, answer::join);
        return ((FailureException) thrown.getCause()).failure().kind();
    }

    /** After a power loss, connections to the host look open and what is sent is buffered without an error. */
    @Test
    void aVerifiedCallToAHungHostFailsAsNotSent() throws IOException {
        try (ServerSocket hungServer = new ServerSocket(0)) {
            String hungAddress = "127.0.0.1:" + hungServer.getLocalPort();
            assertThat(
                    kindOf(client.callProved(hungAddress, NOTICE, "never to arrive", 2000)),
                    is(ErrorKind.CALL_NOT_SENT));
            try (Socket connection = hungServer.accept()) {
                byte[] arrived = connection.getInputStream().readAllBytes();
                assertThat(new String(arrived, StandardCharsets.ISO_8859_1), not(containsString("never to arrive")));
            }
        }
    }

    @Test
    void aVerifiedCallToALiveHostIsAnswered() {
        assertThat(client.callProved(address, ECHO, "hello", LONG_MS).join(), is("hello"));
        assertThat(client.callProved(address, ECHO, "again", LONG_MS).join(), is("again"));
    }
}
