import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP call on a connection of its own. */
final class Http {
    /** Status 0 means that no whole response came. */
    record Reply(int status, Map<String, String> headers, String body) {
        Map<String, Object> json() {
            return body.isBlank() ? Map.of() : Json.object(body);
        }
    }

    static final Reply NONE = new Reply(0, Map.of(), "");

    private Http() {}

    static Reply call(
            String address, String method, String path, String host, String body, int timeoutMs, String... headers) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress to =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
            for (int i = 0; i < headers.length; i += 2) {
                head.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
            }
            if (bytes.length > 0) {
                head.append("Content-Type: application/json\r\n");
            }
            head.append("Content-Length: ").append(bytes.length).append("\r\nConnection: close\r\n\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
            out.writeBytes(bytes);
            socket.getOutputStream().write(out.toByteArray());
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException | RuntimeException e) {
            return NONE;
        }
    }

    private static Reply read(InputStream in) throws IOException {
        String first = line(in);
        int status = Integer.parseInt(first.split(" ")[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String next = line(in); !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            headers.put(
                    next.substring(0, colon).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = Integer.parseInt(line(in).trim(), 16); size > 0; ) {
                body.writeBytes(exactly(in, size));
                line(in);
                size = Integer.parseInt(line(in).trim(), 16);
            }
        } else if (headers.containsKey("content-length")) {
            body.writeBytes(exactly(in, Integer.parseInt(headers.get("content-length"))));
        } else {
            body.writeBytes(in.readAllBytes());
        }
        return new Reply(status, headers, body.toString(StandardCharsets.UTF_8));
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new IOException("the response was cut short");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("the response was cut short");
            }
            if (c != '\r') {
                out.write(c);
            }
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
