package org.cornelcove.work.group;

import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a control host.
 *
 * @param address where other processes reach the host, {@code ip:port}
 * @param folder the data folder
 * @param newGroup whether the whole site starts for the first time
 * @param seeds addresses of control hosts; the first members if the group is new
 * @param size the intended number of members
 */
public record GroupSettings(String address, Path folder, boolean newGroup, List<String> seeds, int size) {}
