package org.cornelcove.bench.cluster;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.cornelcove.model.id.TargetId;

/**
 * Callers that ask each daemon for safe requests, one after the other, and note which target answered. A caller that was
 * refused or not answered asks again after a short pause. Each daemon has enough callers that targets of other
 * availability zones get requests too.
 */
final class Callers implements AutoCloseable {
    private static final long RUN_MS = 100;
    private static final long PAUSE_MS = 20;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration TIMEOUT = Duration.ofSeconds(6);
    private static final int OK = 200;

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();
    private final List<Thread> threads = new ArrayList<>();
    private final Answers answers;

    private Callers(Answers answers) {
        this.answers = answers;
    }

    static Callers start(List<DaemonProcess> daemons, int callersEach, Answers answers) {
        Callers callers = new Callers(answers);
        for (DaemonProcess daemon : daemons) {
            for (int i = 0; i < callersEach; i++) {
                Thread thread = new Thread(() -> callers.call(daemon), "caller-" + daemon.number + "-" + i);
                thread.setDaemon(true);
                callers.threads.add(thread);
                thread.start();
            }
        }
        return callers;
    }

    private void call(DaemonProcess daemon) {
        URI uri = URI.create("http://" + daemon.caller() + BookingRules.PATH + "?runMs=" + RUN_MS);
        HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                if (!isAnswered(request)) {
                    Thread.sleep(PAUSE_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isAnswered(HttpRequest request) throws InterruptedException {
        long sentNs = System.nanoTime();
        try {
            HttpResponse<Void> answer = http.send(request, HttpResponse.BodyHandlers.discarding());
            long answeredNs = System.nanoTime();
            if (answer.statusCode() != OK) {
                return false;
            }
            answer.headers()
                    .firstValue("Cornelcove-Target")
                    .ifPresent(target -> answers.answered(TargetId.of(target), sentNs, answeredNs));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        threads.forEach(Thread::interrupt);
    }
}
