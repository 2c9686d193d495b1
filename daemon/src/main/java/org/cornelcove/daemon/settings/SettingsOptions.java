package org.cornelcove.daemon.settings;

import picocli.CommandLine.Option;

/** The command line flags before validation by {@link SettingsReader}. */
public final class SettingsOptions {
    @Option(
            names = "--roles",
            paramLabel = "ROLES",
            defaultValue = "${env:CORNELCOVE_ROLES:-entry,control}",
            description = "What this daemon does: entry, control or both. [CORNELCOVE_ROLES]")
    String roles;

    @Option(
            names = "--name",
            paramLabel = "NAME",
            defaultValue = "${env:CORNELCOVE_NAME}",
            description = "The name of this daemon's entry. [CORNELCOVE_NAME]")
    String name;

    @Option(
            names = "--region",
            paramLabel = "REGION",
            defaultValue = "${env:CORNELCOVE_REGION:-region-1}",
            description = "The region it runs in. [CORNELCOVE_REGION]")
    String region;

    @Option(
            names = "--availability-zone",
            paramLabel = "ZONE",
            defaultValue = "${env:CORNELCOVE_AVAILABILITY_ZONE}",
            description = "The availability zone it runs in. [CORNELCOVE_AVAILABILITY_ZONE]")
    String availabilityZone;

    @Option(
            names = "--caller-address",
            paramLabel = "IP:PORT",
            defaultValue = "${env:CORNELCOVE_CALLER_ADDRESS:-127.0.0.1:7400}",
            description = "Where callers reach it. [CORNELCOVE_CALLER_ADDRESS]")
    String callerAddress;

    @Option(
            names = "--api-address",
            paramLabel = "IP:PORT",
            defaultValue = "${env:CORNELCOVE_API_ADDRESS:-127.0.0.1:7401}",
            description = "Where operators, targets and workers reach it. [CORNELCOVE_API_ADDRESS]")
    String apiAddress;

    @Option(
            names = "--rpc-address",
            paramLabel = "IP:PORT",
            defaultValue = "${env:CORNELCOVE_RPC_ADDRESS:-127.0.0.1:7402}",
            description = "Where other daemons reach it. [CORNELCOVE_RPC_ADDRESS]")
    String rpcAddress;

    @Option(
            names = "--data-folder",
            paramLabel = "FOLDER",
            defaultValue = "${env:CORNELCOVE_DATA_FOLDER}",
            description = "Where the control role keeps its state. [CORNELCOVE_DATA_FOLDER]")
    String dataFolder;

    @Option(
            names = "--member-id",
            paramLabel = "ID",
            defaultValue = "${env:CORNELCOVE_MEMBER_ID}",
            description = "Its member id among the control hosts, never used before. [CORNELCOVE_MEMBER_ID]")
    String memberId;

    @Option(
            names = "--control-members",
            paramLabel = "ID=IP:PORT,...",
            defaultValue = "${env:CORNELCOVE_CONTROL_MEMBERS}",
            description = "The rpc addresses of the control hosts by member id. [CORNELCOVE_CONTROL_MEMBERS]")
    String controlMembers;

    @Option(
            names = "--drain-ms",
            paramLabel = "MS",
            defaultValue = "${env:CORNELCOVE_DRAIN_MS:-1000}",
            description = "How long it is unready before it stops to admit requests. [CORNELCOVE_DRAIN_MS]")
    String drainMs;

    @Option(
            names = "--standalone",
            defaultValue = "${env:CORNELCOVE_STANDALONE:-false}",
            description = "Both roles and a group of one. [CORNELCOVE_STANDALONE]")
    boolean standalone;
}
