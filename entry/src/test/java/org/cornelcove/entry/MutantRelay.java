package org.cornelcove.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A simple relay that serves one caller at a time from the first target, then the second. Without a fault it keeps the
 * guarantees in the scenarios of {@link HistoryTest}; each fault violates one.
 */
final class MutantRelay {
    /** The fault of the relay. */
    enum Fault {
        NONE,
        RETRY_AFTER_WRITE,
        NO_CLAIM,
        REUSE_OF_A_TIMED_OUT_CONNECTION,
        PART_AS_WHOLE,
        NOT_RUN_AFTER_WRITE,
        KEY_FREED_AT_THE_DEADLINE,
        LEAVING_IGNORED
    }

    private static final int TIMEOUT_MS = 300;
    private final Fault fault;
    private final int[] ports;
    private final Set<String> usedKeys = new HashSet<>();
    private final Set<Integer> leaving = new HashSet<>();
    private final Map<Fault, Deque<Socket>> kept = new EnumMap<>(Fault.class);

    MutantRelay(Fault fault, int... ports) {
        this.fault = fault;
        this.ports = ports;
        kept.put(fault, new ArrayDeque<>());
    }

    void leaves(int target) {
        leaving.add(target);
    }

    History.Exchange send(String id, String requestClass, String key, String body) throws IOException {
        boolean keyed = requestClass.equals("once") && fault != Fault.NO_CLAIM
                || requestClass.equals("exclusive") && fault != Fault.KEY_FREED_AT_THE_DEADLINE;
        if (keyed && !usedKeys.add(key)) {
            return new History.Exchange(id, requestClass, key, body, 409, "unknown", "");
        }
        int first = leaving.contains(0) && fault != Fault.LEAVING_IGNORED ? 1 : 0;
        History.Exchange exchange = attempt(ports[first], id, requestClass, key, body);
        boolean again = fault == Fault.RETRY_AFTER_WRITE && exchange.status() != 200 && first == 0;
        return again ? attempt(ports[1], id, requestClass, key, body) : exchange;
    }

    private History.Exchange attempt(int port, String id, String requestClass, String key, String body)
            throws IOException {
        Socket reused = kept.get(fault).poll();
        Socket socket = reused != null ? reused : new Socket("127.0.0.1", port);
        socket.setSoTimeout(TIMEOUT_MS);
        StringBuilder answer = new StringBuilder();
        try {
            write(socket, id, requestClass, key, body);
            int length = readHead(socket.getInputStream());
            for (int i = 0; i < length; i++) {
                answer.append((char) read(socket.getInputStream()));
            }
            socket.close();
            return new History.Exchange(id, requestClass, key, body, 200, "done", answer.toString());
        } catch (IOException e) {
            if (fault == Fault.PART_AS_WHOLE && answer.length() > 0) {
                return new History.Exchange(id, requestClass, key, body, 200, "done", answer.toString());
            }
            if (fault == Fault.REUSE_OF_A_TIMED_OUT_CONNECTION) {
                kept.get(fault).add(socket);
            } else {
                socket.close();
            }
            String run = fault == Fault.NOT_RUN_AFTER_WRITE ? "not-run" : "unknown";
            return new History.Exchange(id, requestClass, key, body, 502, run, "");
        }
    }

    private static void write(Socket to, String id, String requestClass, String key, String body) throws IOException {
        String text = "POST /q HTTP/1.1\r\nCornelcove-Request-Id: " + id + "\r\nCornelcove-Class: " + requestClass
                + "\r\nCornelcove-Key: " + key + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        to.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static int readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) read(in));
        }
        String length = head.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1");
        return Integer.parseInt(length);
    }

    private static int read(InputStream in) throws IOException {
        int c = in.read();
        if (c < 0) {
            throw new IOException("end");
        }
        return c;
    }
}
