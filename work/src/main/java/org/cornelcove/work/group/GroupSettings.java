package org.cornelcove.work.group;

import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a control host.
 *
 * @param address where other processes reach it, {@code ip:port}
 * @param folder its data folder
 * @param newGroup whether the whole site starts for the first time
 * @param seeds addresses of control hosts; of a new group, its first members
 * @param size how many members the group should have
 */
public record GroupSettings(String address, Path folder, boolean newGroup, List<String> seeds, int size) {}
