package org.cornelcove.work.group;

import java.util.List;

/**
 * The group as known to one control host.
 *
 * @param leader the leader's address, empty when unknown
 * @param members the addresses of all members
 */
public record GroupView(String leader, List<String> members) {}
