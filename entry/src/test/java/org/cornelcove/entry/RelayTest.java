package org.cornelcove.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

class RelayTest {
    @ParameterizedTest
    @CsvSource({
        "GET, /quote?a=b%20c&d, 0",
        "HEAD, /quote, 0",
        "POST, /quote, 0",
        "POST, /a%2Fb//c, 17",
        "PUT, /quote;x=1, 300000",
        "DELETE, /quote, 0"
    })
    void bodiesAndUrisPassByteForByte(String method, String path, int bodyBytes) throws Exception {
        byte[] body = new byte[bodyBytes];
        new Random(7).nextBytes(body);
        for (FakeTarget.Behaviour behaviour :
                new FakeTarget.Behaviour[] {FakeTarget.Behaviour.ECHO, FakeTarget.Behaviour.ECHO_CHUNKED}) {
            if (method.equals("HEAD") && behaviour == FakeTarget.Behaviour.ECHO_CHUNKED) {
                continue;
            }
            try (Rig rig = new Rig().with(FakeTarget.start("t1", behaviour)).open()) {
                HttpRequest request = rig.request(path)
                        .header(Headers.REQUEST_ID, "r1")
                        .header("X-Mine", "kept")
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
                HttpResponse<byte[]> answer = Rig.HTTP.send(request, HttpResponse.BodyHandlers.ofByteArray());
                assertThat(new String(answer.body()), answer.statusCode(), is(200));
                assertThat(Rig.run(answer), is("done"));
                if (behaviour == FakeTarget.Behaviour.ECHO) {
                    String length =
                            answer.headers().firstValue("content-length").orElse("");
                    assertThat(length, is(Integer.toString(bodyBytes + 3)));
                }
                FakeTarget.Received seen = rig.targets.get(0).log.get(0);
                assertThat(seen.uri, is(path));
                assertThat(seen.method, is(method));
                assertThat(seen.headers.get("x-mine"), is("kept"));
                assertThat(Arrays.equals(seen.body, body), is(true));
                byte[] expected = ("r1|" + new String(body, "ISO-8859-1")).getBytes("ISO-8859-1");
                assertThat(answer.body(), equalTo(method.equals("HEAD") ? new byte[0] : expected));
            }
        }
    }

    @Test
    void manyRequestsGetTheirOwnAnswersOverFewConnections() throws Exception {
        try (Rig rig = new Rig()
                .with(
                        FakeTarget.start("t1", FakeTarget.Behaviour.ECHO),
                        FakeTarget.start("t2", FakeTarget.Behaviour.ECHO))
                .open()) {
            var answers = new java.util.ArrayList<java.util.concurrent.CompletableFuture<HttpResponse<String>>>();
            for (int i = 0; i < 100; i++) {
                answers.add(rig.sendAsync(rig.post("r" + i, "safe", "k" + i, "body" + i)));
            }
            for (int i = 0; i < 100; i++) {
                assertThat(answers.get(i).get().body(), is("r" + i + "|body" + i));
            }
            for (FakeTarget target : rig.targets) {
                assertThat(target.mostRunning.get() <= 8, is(true));
            }
        }
    }

    /** An answer may be available before the handler that suspended the request has returned. */
    @Test
    void quickAnswersNeverStallAConnection() throws Exception {
        byte[] request = "GET /q HTTP/1.1\r\nHost: a\r\n\r\n".getBytes();
        try (Rig rig = new Rig()
                .with(
                        FakeTarget.start("t1", FakeTarget.Behaviour.ECHO),
                        FakeTarget.start("t2", FakeTarget.Behaviour.ECHO))
                .open()) {
            Thread[] clients = new Thread[8];
            AtomicInteger answered = new AtomicInteger();
            for (int i = 0; i < clients.length; i++) {
                clients[i] = new Thread(() -> answered.addAndGet(ask(rig.entry.port(), request, 2_000)));
                clients[i].start();
            }
            for (Thread client : clients) {
                client.join();
            }
            assertThat(answered.get(), is(16_000));
        }
    }

    private static int ask(int port, byte[] request, int times) {
        int answered = 0;
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            byte[] buffer = new byte[4_096];
            for (; answered < times; answered++) {
                socket.getOutputStream().write(request);
                StringBuilder seen = new StringBuilder();
                while (!seen.toString().endsWith("|")) {
                    int read = socket.getInputStream().read(buffer);
                    if (read < 0) {
                        return answered;
                    }
                    seen.append(new String(buffer, 0, read));
                }
            }
        } catch (IOException e) {
            return answered;
        }
        return answered;
    }
}
