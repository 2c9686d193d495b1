package org.cornelcove.work.group;

import java.util.List;

/**
 * The group as one control host knows it.
 *
 * @param leader the leader's address, empty when none is known
 * @param members the addresses of all members
 */
public record GroupView(String leader, List<String> members) {}
