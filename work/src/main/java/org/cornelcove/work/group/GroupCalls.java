package org.cornelcove.work.group;

import org.cornelcove.wire.Call;
import org.cornelcove.work.lead.JobCall;
import org.cornelcove.work.lead.JobReply;

/** The calls between the processes of one site. */
public final class GroupCalls {
    /** A message between members of the replicated log. */
    static final Call<byte[], byte[]> REPLICATE = Call.of("work.replicate", byte[].class, byte[].class);
    /** Queries a control host for the group as known to it. */
    static final Call<GroupQuery, GroupView> VIEW = Call.of("work.group", GroupQuery.class, GroupView.class);
    /** Asks the leader to add a member. */
    static final Call<JoinRequest, JoinReply> JOIN = Call.of("work.join", JoinRequest.class, JoinReply.class);
    /** Forwards a caller's call to the leader. */
    public static final Call<JobCall, JobReply> JOB = Call.of("work.job", JobCall.class, JobReply.class);

    private GroupCalls() {}
}
