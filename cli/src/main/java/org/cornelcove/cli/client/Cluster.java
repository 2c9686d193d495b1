package org.cornelcove.cli.client;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.vavr.control.Either;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobView;
import org.cornelcove.model.view.ClusterHistograms;
import org.cornelcove.model.view.ClusterStatus;
import org.cornelcove.model.view.ConfigurationAccepted;
import org.cornelcove.model.view.ConfigurationProposal;
import org.cornelcove.model.view.ConfigurationView;
import org.cornelcove.model.view.ExplainView;
import org.cornelcove.model.view.InForceView;
import org.cornelcove.model.view.MemberAddition;
import org.cornelcove.model.view.MemberView;
import org.cornelcove.model.view.RequestExplanation;

/**
 * Client of the operators' HTTP interface, with one method for each call. Proposals carry their number and digest, and
 * submissions their job id, so they are idempotent and are resent when their answer is lost; membership changes are not.
 */
public final class Cluster {
    private static final String CONFIGURATION = "/v1/configuration";
    private static final String MEMBERS = "/v1/members";
    private static final String JOBS = "/v1/jobs";

    private final ApiClient client;

    private Cluster(ApiClient client) {
        this.client = client;
    }

    /**
     * Returns a client of the cluster behind some endpoints; it does not connect yet.
     *
     * @param endpoints the api listeners to ask, in order
     * @param timeoutMs how long to wait for each answer, in milliseconds
     * @param timing the clock on which retries wait
     * @return the client
     */
    public static Cluster of(Endpoints endpoints, long timeoutMs, Timing timing) {
        return new Cluster(ApiClient.of(endpoints, timeoutMs, timing));
    }

    /**
     * Fetches the state of the cluster.
     *
     * @return the state, or the failures
     */
    public Either<List<Failure>, ClusterStatus> status() {
        return client.send(Call.get("/v1/status", ClusterStatus.class)).map(ClusterStatus.class::cast);
    }

    /**
     * Fetches the control members.
     *
     * @return the members, or the failures
     */
    public Either<List<Failure>, List<MemberView>> members() {
        return client.send(Call.list(MEMBERS, MemberView.class)).map(Cluster::listOf);
    }

    /**
     * Adds a control member and waits until it votes.
     *
     * @param member the new member
     * @return an empty text once it votes, or the failures
     */
    public Either<List<Failure>, Object> addMember(MemberAddition member) {
        return client.send(Call.post(MEMBERS, member, null).once());
    }

    /**
     * Removes a control member.
     *
     * @param id the id of the member
     * @return an empty text once it is removed, or the failures
     */
    public Either<List<Failure>, Object> removeMember(long id) {
        return client.send(Call.delete(MEMBERS + "/" + id, null).once());
    }

    /**
     * Fetches the newest accepted configuration.
     *
     * @return the configuration, of version 0 before the first, or the failures
     */
    public Either<List<Failure>, ConfigurationView> configuration() {
        return client.send(Call.get(CONFIGURATION, ConfigurationView.class)).map(ConfigurationView.class::cast);
    }

    /**
     * Proposes a configuration.
     *
     * @param proposal the proposal
     * @return the version it became, or the failures
     */
    public Either<List<Failure>, ConfigurationAccepted> propose(ConfigurationProposal proposal) {
        return client.send(Call.post(CONFIGURATION, proposal, ConfigurationAccepted.class))
                .map(ConfigurationAccepted.class::cast);
    }

    /**
     * Fetches whether a version is in force at every entry.
     *
     * @param version the version
     * @return whether it is, and the entries it waits for, or the failures
     */
    public Either<List<Failure>, InForceView> inForce(long version) {
        return client.send(Call.get(CONFIGURATION + "/" + version + "/in-force", InForceView.class))
                .map(InForceView.class::cast);
    }

    /**
     * Submits a job; resubmitting the same job has no further effect.
     *
     * @param job the job
     * @return the current state of the job, or the failures
     */
    public Either<List<Failure>, JobView> submit(JobSpec job) {
        return client.send(Call.post(JOBS, job, JobView.class)).map(JobView.class::cast);
    }

    /**
     * Fetches one job.
     *
     * @param id the id of the job
     * @return the job, or the failures
     */
    public Either<List<Failure>, JobView> job(String id) {
        return client.send(Call.get(JOBS + "/" + encoded(id), JobView.class)).map(JobView.class::cast);
    }

    /**
     * Fetches all jobs.
     *
     * @return the jobs, or the failures
     */
    public Either<List<Failure>, List<JobView>> jobs() {
        return client.send(Call.list(JOBS, JobView.class)).map(Cluster::listOf);
    }

    /**
     * Cancels a job.
     *
     * @param id the id of the job
     * @return the current state of the job, or the failures
     */
    public Either<List<Failure>, JobView> cancel(String id) {
        return client.send(Call.delete(JOBS + "/" + encoded(id), JobView.class)).map(JobView.class::cast);
    }

    /**
     * Drains an entry and waits until it may be stopped.
     *
     * @param entry the name of the entry
     * @return an empty text once it is drained, or the failures
     */
    public Either<List<Failure>, Object> drain(String entry) {
        return client.send(Call.post("/v1/entries/" + encoded(entry) + "/drain", null, null));
    }

    /**
     * Fetches the explanation of the current state of a job.
     *
     * @param id the id of the job
     * @return the explanation, or the failures
     */
    public Either<List<Failure>, ExplainView> explainJob(String id) {
        return client.send(Call.get("/v1/explain/jobs/" + encoded(id), ExplainView.class))
                .map(ExplainView.class::cast);
    }

    /**
     * Fetches the history of a request from all live entries.
     *
     * @param id the id of the request
     * @return the history with its coverage, or the failures
     */
    public Either<List<Failure>, RequestExplanation> explainRequest(String id) {
        return client.send(Call.get("/v1/explain/requests/" + encoded(id), RequestExplanation.class))
                .map(RequestExplanation.class::cast);
    }

    /**
     * Fetches the merged histograms of all live entries.
     *
     * @return the histograms with their coverage, or the failures
     */
    public Either<List<Failure>, ClusterHistograms> histograms() {
        return client.send(Call.get("/v1/histograms", ClusterHistograms.class)).map(ClusterHistograms.class::cast);
    }

    @SuppressWarnings("unchecked") // the call was made with the element's type
    private static <T> List<T> listOf(Object answer) {
        return (List<T>) answer;
    }

    private static String encoded(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
