package org.cornelcove.replication;

/** Is notified when this member gains or loses leadership, in order, by one thread at a time; must not block. */
public interface LeadershipListener {
    /**
     * This member is leader and has applied all entries that earlier leaders committed.
     *
     * @param term the term in which it is leader
     */
    void leadershipGained(long term);

    /**
     * This member is no longer leader.
     *
     * @param term the term in which it was leader
     */
    void leadershipLost(long term);
}
