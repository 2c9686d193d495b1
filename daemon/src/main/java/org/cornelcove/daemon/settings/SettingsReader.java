package org.cornelcove.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.Names;
import org.cornelcove.wire.Addresses;

/** Validates all flags and reports all errors together. */
public final class SettingsReader {
    private static final long STANDALONE_MEMBER = 1;
    private static final long MAX_DRAIN_MS = 60_000;

    private final SettingsOptions options;
    private final List<Failure> errors = new ArrayList<>();

    private SettingsReader(SettingsOptions options) {
        this.options = options;
    }

    /**
     * Validates the flags.
     *
     * @param options the flags as given
     * @return the settings, or all errors in the order of the checks
     */
    public static Either<List<Failure>, Settings> read(SettingsOptions options) {
        return new SettingsReader(options).read();
    }

    private Either<List<Failure>, Settings> read() {
        Set<Role> roles = options.standalone ? EnumSet.allOf(Role.class) : roles();
        boolean control = roles.contains(Role.CONTROL);
        String name = name("name", options.name, options.standalone ? "standalone" : null);
        String zone = name("availability-zone", options.availabilityZone, options.standalone ? "zone-1" : null);
        String region = name("region", options.region, null);
        InetSocketAddress caller = address("caller-address", options.callerAddress);
        InetSocketAddress api = address("api-address", options.apiAddress);
        InetSocketAddress rpc = address("rpc-address", options.rpcAddress);
        Optional<Path> folder = control ? Optional.ofNullable(dataFolder()) : Optional.empty();
        long member = control ? memberId() : 0;
        SortedMap<Long, String> members = controlMembers();
        long drainMs = number("drain-ms", options.drainMs, 0, MAX_DRAIN_MS);
        requireDistinct(List.of(caller, api, rpc));
        if (!errors.isEmpty()) {
            return Either.left(List.copyOf(errors));
        }
        return Either.right(new Settings(
                roles, EntryId.of(name), region, zone, caller, api, rpc, folder, member, members, drainMs));
    }

    private Set<Role> roles() {
        Set<Role> roles = EnumSet.noneOf(Role.class);
        for (String role : options.roles.split(",")) {
            switch (role.trim().toLowerCase(Locale.ROOT)) {
                case "entry" -> roles.add(Role.ENTRY);
                case "control" -> roles.add(Role.CONTROL);
                default -> invalid("roles", role, "not a role", "entry, control or both with a comma");
            }
        }
        return roles;
    }

    private String name(String flag, String given, String defaultValue) {
        String value = given == null ? defaultValue : given;
        if (value == null) {
            missing(flag);
        } else if (!Names.isName(value)) {
            invalid(flag, value, "not a name", "1 to 128 letters, digits, '.', '-' or '_'");
        }
        return value;
    }

    private InetSocketAddress address(String flag, String given) {
        Optional<InetSocketAddress> address = Addresses.read(given).filter(a -> a.getPort() > 0);
        if (address.isEmpty()) {
            invalid(flag, given, "not an address", "ip:port with a number for the ip and a port above 0");
        }
        return address.orElse(new InetSocketAddress(0));
    }

    private void requireDistinct(List<InetSocketAddress> listeners) {
        List<InetSocketAddress> given =
                listeners.stream().filter(a -> a.getPort() > 0).toList();
        if (given.stream().distinct().count() < given.size()) {
            invalid("rpc-address", options.rpcAddress, "two listeners share an address", "each a port of its own");
        }
    }

    private Path dataFolder() {
        if (options.dataFolder == null) {
            missing("data-folder");
            return null;
        }
        Path folder = Path.of(options.dataFolder);
        if (Files.exists(folder) && !Files.isDirectory(folder)) {
            invalid("data-folder", options.dataFolder, "not a folder", "a folder that this process may write");
        } else if (Files.exists(folder) && !Files.isWritable(folder)) {
            invalid("data-folder", options.dataFolder, "not writable", "a folder that this process may write");
        }
        return folder;
    }

    private long memberId() {
        if (options.memberId == null && options.standalone) {
            return STANDALONE_MEMBER;
        }
        if (options.memberId == null) {
            missing("member-id");
            return 0;
        }
        return number("member-id", options.memberId, 1, Long.MAX_VALUE);
    }

    private SortedMap<Long, String> controlMembers() {
        SortedMap<Long, String> members = new TreeMap<>();
        if (options.standalone) {
            members.put(STANDALONE_MEMBER, options.rpcAddress);
            return members;
        }
        if (options.controlMembers == null) {
            missing("control-members");
            return members;
        }
        for (String item : options.controlMembers.split(",")) {
            addMember(members, item.trim());
        }
        return members;
    }

    private void addMember(SortedMap<Long, String> members, String item) {
        int separator = item.indexOf('=');
        String address = separator < 0 ? "" : item.substring(separator + 1);
        if (separator <= 0 || !item.substring(0, separator).matches("[1-9][0-9]{0,17}")) {
            invalid("control-members", item, "not id=ip:port", "for example 1=10.0.0.1:7402,2=10.0.0.2:7402");
        } else if (Addresses.read(address).isEmpty()) {
            invalid("control-members", item, "not an address", "for example 1=10.0.0.1:7402");
        } else if (members.put(Long.parseLong(item.substring(0, separator)), address) != null) {
            invalid("control-members", item, "duplicate member id", "each id once");
        }
    }

    private long number(String flag, String given, long min, long max) {
        try {
            long value = Long.parseLong(given.trim());
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below as a number out of range
        }
        invalid(flag, given, "not a number in range", "a whole number from " + min + " to " + max);
        return min;
    }

    private void missing(String flag) {
        errors.add(Failure.of(ErrorKind.SETTING_MISSING, flag, environmentVariable(flag)));
    }

    private void invalid(String flag, String given, String reason, String remedy) {
        errors.add(Failure.of(ErrorKind.SETTING_INVALID, flag, given, reason, remedy));
    }

    private static String environmentVariable(String flag) {
        return "CORNELCOVE_" + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    }
}
