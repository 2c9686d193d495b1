package org.cornelcove.daemon.call;

import org.cornelcove.control.view.ControlStatus;
import org.cornelcove.entry.ForwardedAnswer;
import org.cornelcove.entry.ForwardedRequest;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.message.WorkerOrders;
import org.cornelcove.model.view.ConfigurationView;
import org.cornelcove.model.view.ExplainView;
import org.cornelcove.model.view.InForceView;
import org.cornelcove.model.view.MemberAddition;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.wire.Call;

/** The calls between daemons. */
public final class Calls {
    /** Commits a command to the replicated log; handled by the leader only. */
    public static final Call<Command, Outcome> EXECUTE = Call.of("execute", Command.class, Outcome.class);

    /** Renews an entry's lease; handled by the leader only. */
    public static final Call<EntryHeartbeat, EntryLease> ENTRY_HEARTBEAT =
            Call.of("entry-heartbeat", EntryHeartbeat.class, EntryLease.class);

    /** Reports a worker's attempts; handled by the leader only. */
    public static final Call<WorkerHeartbeat, WorkerOrders> WORKER_HEARTBEAT =
            Call.of("worker-heartbeat", WorkerHeartbeat.class, WorkerOrders.class);

    /** Reads the leader's status; handled by the leader only. */
    public static final Call<Empty, ControlStatus> STATUS = Call.of("status", Empty.class, ControlStatus.class);

    /** Reads the newest configuration; handled by the leader only. */
    public static final Call<Empty, ConfigurationView> CONFIGURATION =
            Call.of("configuration", Empty.class, ConfigurationView.class);

    /** Asks whether a version is in force; handled by the leader only. */
    public static final Call<Long, InForceView> IN_FORCE = Call.of("in-force", Long.class, InForceView.class);

    /** Reads a job; handled by the leader only. */
    public static final Call<JobId, JobAnswer> JOB = Call.of("job", JobId.class, JobAnswer.class);

    /** Lists the jobs; handled by the leader only. */
    public static final Call<Empty, JobList> JOBS = Call.of("jobs", Empty.class, JobList.class);

    /** Explains a job; handled by the leader only. */
    public static final Call<JobId, ExplainView> EXPLAIN_JOB = Call.of("explain-job", JobId.class, ExplainView.class);

    /** Adds a control host; handled by the leader only. */
    public static final Call<MemberAddition, Empty> ADD_MEMBER =
            Call.of("add-member", MemberAddition.class, Empty.class);

    /** Removes a control host; handled by the leader only. */
    public static final Call<Long, Empty> REMOVE_MEMBER = Call.of("remove-member", Long.class, Empty.class);

    /** Reads a control host's view of the group; handled by any control host. */
    public static final Call<Empty, ReplicaStatus> GROUP = Call.of("group", Empty.class, ReplicaStatus.class);

    /** Reads the leader's view of the group, with the progress of each member; handled by the leader only. */
    public static final Call<Empty, ReplicaStatus> LEADER_GROUP =
            Call.of("leader-group", Empty.class, ReplicaStatus.class);

    /** Sends a message of the replicated log between control hosts; one-way, without an answer. */
    public static final Call<byte[], byte[]> REPLICATE = Call.of("replicate", byte[].class, byte[].class);

    /** Forwards a request to another entry; handled by entries. */
    public static final Call<ForwardedRequest, ForwardedAnswer> FORWARD =
            Call.of("forward", ForwardedRequest.class, ForwardedAnswer.class);

    /** Drains an entry: it hands over what it owns and completes its requests; handled by entries. */
    public static final Call<Empty, Empty> DRAIN = Call.of("drain", Empty.class, Empty.class);

    /** Reads an entry's histograms with all their buckets; handled by entries. */
    public static final Call<Empty, EntryHistograms> ENTRY_HISTOGRAMS =
            Call.of("entry-histograms", Empty.class, EntryHistograms.class);

    /** Reads the trace of a request by its id; handled by entries. */
    public static final Call<String, ExplainView> EXPLAIN_REQUEST =
            Call.of("explain-request", String.class, ExplainView.class);

    private Calls() {}
}
