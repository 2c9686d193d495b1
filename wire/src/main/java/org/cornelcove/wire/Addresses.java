package org.cornelcove.wire;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses and formats numeric socket addresses of the form {@code ip:port}. */
public final class Addresses {
    private static final int MAX_PORT = 65535;
    private static final String BYTE = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)";
    private static final Pattern IPV4 = Pattern.compile(BYTE + "(\\." + BYTE + "){3}");
    /** With a colon, so that it is never taken for the name of a host, which would be looked up. */
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F]*:[0-9a-fA-F:]*");

    private Addresses() {}

    /**
     * Parses an address. Host names are rejected: only IPv4 and IPv6 numbers are accepted.
     *
     * @param text {@code ip:port}, IPv6 numbers in brackets, port 0 to 65535
     * @return the address, empty when malformed
     */
    public static Optional<InetSocketAddress> read(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, colon).replace("[", "").replace("]", "");
            if (port < 0 || port > MAX_PORT || !isNumeric(host)) {
                return Optional.empty();
            }
            return Optional.of(new InetSocketAddress(host, port)).filter(address -> !address.isUnresolved());
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /**
     * Parses an address that has already been validated.
     *
     * @param text {@code ip:port}
     * @return the address
     * @throws IllegalArgumentException when malformed
     */
    public static InetSocketAddress parse(String text) {
        return read(text).orElseThrow(() -> new IllegalArgumentException("not ip:port: " + text));
    }

    /**
     * Formats an address.
     *
     * @param address the address, resolved
     * @return {@code ip:port}, IPv6 numbers in brackets
     */
    public static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private static boolean isNumeric(String host) {
        return IPV4.matcher(host).matches() || IPV6.matcher(host).matches();
    }
}
