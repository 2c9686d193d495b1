package org.cornelcove.testkit;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Sends requests one at a time, round robin over the entries, and prints each answer; exits with 1 if any failed. */
@Command(name = "caller", description = "Sends requests and prints the answers.", mixinStandardHelpOptions = true)
final class CallerCommand implements Callable<Integer> {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    @Option(names = "--entry", required = true, split = ",", description = "Caller addresses of entries.")
    private List<String> entries;

    @Option(names = "--path", required = true)
    private String path;

    @Option(names = "--class", defaultValue = "safe")
    private String requestClass;

    @Option(names = "--count", defaultValue = "3")
    private int count;

    @Option(names = "--body", defaultValue = "hello")
    private String body;

    @Override
    public Integer call() throws Exception {
        HttpClient http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(TIMEOUT)
                .build();
        int failed = 0;
        for (int i = 0; i < count; i++) {
            HttpResponse<String> answer = http.send(request(i), HttpResponse.BodyHandlers.ofString());
            print(answer);
            failed += answer.statusCode() == 200 && answer.body().endsWith(" " + body) ? 0 : 1;
        }
        return failed == 0 ? 0 : 1;
    }

    private HttpRequest request(int number) {
        String entry = entries.get(number % entries.size());
        return HttpRequest.newBuilder(URI.create("http://" + entry + path))
                .timeout(TIMEOUT)
                .header("Cornelcove-Class", requestClass)
                .header("Cornelcove-Key", UUID.randomUUID().toString())
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private void print(HttpResponse<String> answer) {
        System.out.printf(
                "%-9s status=%d run=%s entry=%s target=%s answer='%s'%n",
                requestClass,
                answer.statusCode(),
                answer.headers().firstValue("Cornelcove-Run").orElse("-"),
                answer.headers().firstValue("Cornelcove-Entry").orElse("-"),
                answer.headers().firstValue("Cornelcove-Target").orElse("-"),
                answer.body());
    }
}
