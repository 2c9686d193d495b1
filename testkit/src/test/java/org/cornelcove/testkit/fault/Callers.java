package org.cornelcove.testkit.fault;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.cornelcove.model.view.ErrorView;
import org.cornelcove.testkit.History;

/**
 * Callers that send one request at a time and wait for its answer. Requests of class {@code exclusive} contend for a
 * few keys; a request of class {@code once} is repeated under its key with a probability of one in four.
 */
final class Callers {
    private static final int EXCLUSIVE_KEYS = 4;
    private static final long TIMEOUT_MS = 12_000;
    private static final List<String> CLASSES = List.of("safe", "exclusive", "once");

    private final Balancer balancer;
    private final History history;
    private volatile boolean stopped;

    Callers(Balancer balancer, History history) {
        this.balancer = balancer;
        this.history = history;
    }

    void stop() {
        stopped = true;
    }

    void callUntilStopped(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int number = 0;
        while (!stopped) {
            List<String> ready = balancer.ready();
            pause(10 + random.nextInt(40));
            if (!ready.isEmpty()) {
                sendNext(random, ready.get(random.nextInt(ready.size())), "c" + seed + "-" + number);
                number++;
            }
        }
    }

    private void sendNext(SplittableRandom random, String entry, String id) {
        String requestClass = CLASSES.get(random.nextInt(CLASSES.size()));
        String key = requestClass.equals("exclusive") ? "e" + random.nextInt(EXCLUSIVE_KEYS) : "k-" + id;
        String body = key + " " + id + " " + "x".repeat(random.nextInt(3_000));
        String path = "/booking/x?runMs=" + random.nextInt(60);
        send(requestClass, key, body, entry, id, path);
        if (requestClass.equals("once")
                && random.nextInt(4) == 0
                && !balancer.ready().isEmpty()) {
            send(requestClass, key, body, balancer.ready().stream().findAny().orElse(entry), id + "-again", path);
        }
    }

    /** Sends a request of class {@code once} and returns its run state, see {@link Seen.Answer}. */
    String sendOnce(String key, Node node) {
        return send("once", key, "body", node.caller, key + "-at-" + node.name, "/booking/x?runMs=0");
    }

    private String send(String requestClass, String key, String body, String entry, String id, String path) {
        Seen.Sent sent = new Seen.Sent(id, requestClass, key, body, entry, System.currentTimeMillis());
        Map<String, String> headers =
                Map.of("Cornelcove-Class", requestClass, "Cornelcove-Key", key, "Cornelcove-Request-Id", id);
        Http.Reply reply = Http.send("POST", entry, path, body.getBytes(StandardCharsets.UTF_8), headers, TIMEOUT_MS);
        String run = reply.status() > 0 ? reply.run() : reply.status() == 0 ? Seen.UNSENT : Seen.LOST;
        int error = reply.error().map(ErrorView::number).orElse(0);
        String answer = new String(reply.body(), StandardCharsets.UTF_8);
        history.write(new Seen.Answer(sent, System.currentTimeMillis(), reply.status(), run, error, answer));
        return run;
    }

    static void pause(long forMs) {
        try {
            Thread.sleep(forMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
