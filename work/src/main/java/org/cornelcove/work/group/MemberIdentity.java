package org.cornelcove.work.group;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cornelcove.replication.Member;

/**
 * The identity of this host in the group: its member id and, for a first member, all first members. Stored in the data
 * folder, so that a host that lost its disk takes a new id and cannot vote twice under the old one.
 *
 * @param id the member id
 * @param firstMembers the first members of a new group, empty for a host that joins an existing one
 */
record MemberIdentity(long id, List<Member> firstMembers) {
    private static final String FILE = "member";
    private static final String NEW_FILE = "member.new";

    static MemberIdentity joining() {
        // The first members have ids from 1 to the size of the group.
        long id = (new SecureRandom().nextLong() >>> 2) + 1_000_000;
        return new MemberIdentity(id, List.of());
    }

    /**
     * Returns the identity of a first member.
     *
     * @param address the address of this host
     * @param firstAddresses the addresses of all first members, in the same order on every host
     * @return the identity, empty when this host is not a first member
     */
    static Optional<MemberIdentity> first(String address, List<String> firstAddresses) {
        List<Member> members = new ArrayList<>();
        long own = 0;
        for (int i = 0; i < firstAddresses.size(); i++) {
            members.add(new Member(i + 1L, firstAddresses.get(i), true));
            own = firstAddresses.get(i).equals(address) ? i + 1L : own;
        }
        return own == 0 ? Optional.empty() : Optional.of(new MemberIdentity(own, members));
    }

    static Optional<MemberIdentity> read(Path folder) throws IOException {
        Path file = folder.resolve(FILE);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        // A process that ended before it synced the folder left a name that a loss of power takes away.
        sync(folder);
        List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
        List<Member> members = new ArrayList<>();
        for (int i = 1; i < lines.size(); i++) {
            members.add(new Member(i, lines.get(i), true));
        }
        try {
            return Optional.of(new MemberIdentity(Long.parseLong(lines.get(0)), members));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            throw new IOException(file + " is damaged", e);
        }
    }

    void write(Path folder) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(Long.toString(id));
        firstMembers.forEach(member -> lines.add(member.address()));
        Path temporary = folder.resolve(NEW_FILE);
        byte[] text = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            channel.write(ByteBuffer.wrap(text));
            channel.force(true);
        }
        Files.move(temporary, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
        sync(folder);
    }

    private static void sync(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /**
     * Returns the folder of this member's log.
     *
     * @param folder the data folder
     * @return a folder that no other member id uses
     */
    Path logFolder(Path folder) {
        return folder.resolve("log-" + id);
    }
}
