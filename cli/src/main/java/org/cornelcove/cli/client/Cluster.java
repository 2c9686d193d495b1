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
 * The cluster as an operator's program sees it: one method for each call of the operators' HTTP interface. Proposals
 * carry their number and digest, and submissions their job id, so these are idempotent and sent again when their answer
 * is lost; changes of members are not.
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
     * Returns the cluster behind some endpoints.
     *
     * @param endpoints the api listeners to ask, in order
     * @param timeoutMs how long to wait for each answer
     * @param timing the clock
     * @return the cluster
     */
    public static Cluster of(Endpoints endpoints, long timeoutMs, Timing timing) {
        return new Cluster(ApiClient.of(endpoints, timeoutMs, timing));
    }

    /**
     * Asks for the state of the cluster.
     *
     * @return the state, or why there is none
     */
    public Either<List<Failure>, ClusterStatus> status() {
        return client.send(Call.get("/v1/status", ClusterStatus.class)).map(ClusterStatus.class::cast);
    }

    /**
     * Asks for the control members.
     *
     * @return the members, or why there are none
     */
    public Either<List<Failure>, List<MemberView>> members() {
        return client.send(Call.list(MEMBERS, MemberView.class)).map(Cluster::listOf);
    }

    /**
     * Adds a control member and waits until it votes.
     *
     * @param member the member
     * @return why it was not added, if so
     */
    public Either<List<Failure>, Object> addMember(MemberAddition member) {
        return client.send(Call.post(MEMBERS, member, null).once());
    }

    /**
     * Removes a control member.
     *
     * @param id the member
     * @return why it was not removed, if so
     */
    public Either<List<Failure>, Object> removeMember(long id) {
        return client.send(Call.delete(MEMBERS + "/" + id, null).once());
    }

    /**
     * Asks for the newest accepted configuration.
     *
     * @return the configuration, or why there is none
     */
    public Either<List<Failure>, ConfigurationView> configuration() {
        return client.send(Call.get(CONFIGURATION, ConfigurationView.class)).map(ConfigurationView.class::cast);
    }

    /**
     * Proposes a configuration.
     *
     * @param proposal the proposal
     * @return the version it became, or why it was refused
     */
    public Either<List<Failure>, ConfigurationAccepted> propose(ConfigurationProposal proposal) {
        return client.send(Call.post(CONFIGURATION, proposal, ConfigurationAccepted.class))
                .map(ConfigurationAccepted.class::cast);
    }

    /**
     * Asks whether a version is in force everywhere.
     *
     * @param version the version
     * @return whether it is, or why that is not known
     */
    public Either<List<Failure>, InForceView> inForce(long version) {
        return client.send(Call.get(CONFIGURATION + "/" + version + "/in-force", InForceView.class))
                .map(InForceView.class::cast);
    }

    /**
     * Submits a job; the same job submitted again is the same job.
     *
     * @param job the job
     * @return the job as it stands, or why it was refused
     */
    public Either<List<Failure>, JobView> submit(JobSpec job) {
        return client.send(Call.post(JOBS, job, JobView.class)).map(JobView.class::cast);
    }

    /**
     * Asks for one job.
     *
     * @param id the job
     * @return the job, or why there is none
     */
    public Either<List<Failure>, JobView> job(String id) {
        return client.send(Call.get(JOBS + "/" + encoded(id), JobView.class)).map(JobView.class::cast);
    }

    /**
     * Asks for all jobs.
     *
     * @return the jobs, or why there are none
     */
    public Either<List<Failure>, List<JobView>> jobs() {
        return client.send(Call.list(JOBS, JobView.class)).map(Cluster::listOf);
    }

    /**
     * Cancels a job.
     *
     * @param id the job
     * @return the job as it stands, or why it was refused
     */
    public Either<List<Failure>, JobView> cancel(String id) {
        return client.send(Call.delete(JOBS + "/" + encoded(id), JobView.class)).map(JobView.class::cast);
    }

    /**
     * Takes an entry out of service.
     *
     * @param entry the entry
     * @return why it was refused, if so
     */
    public Either<List<Failure>, Object> drain(String entry) {
        return client.send(Call.post("/v1/entries/" + encoded(entry) + "/drain", null, null));
    }

    /**
     * Asks why a job is where it is.
     *
     * @param id its id
     * @return the reasons, or why there are none
     */
    public Either<List<Failure>, ExplainView> explainJob(String id) {
        return client.send(Call.get("/v1/explain/jobs/" + encoded(id), ExplainView.class))
                .map(ExplainView.class::cast);
    }

    /**
     * Asks all live entries what became of a request.
     *
     * @param id its id
     * @return what they know, or why there is nothing
     */
    public Either<List<Failure>, RequestExplanation> explainRequest(String id) {
        return client.send(Call.get("/v1/explain/requests/" + encoded(id), RequestExplanation.class))
                .map(RequestExplanation.class::cast);
    }

    /**
     * Asks for the histograms of all live entries, merged.
     *
     * @return the histograms, or why there are none
     */
    public Either<List<Failure>, ClusterHistograms> histograms() {
        return client.send(Call.get("/v1/histograms", ClusterHistograms.class)).map(ClusterHistograms.class::cast);
    }

    @SuppressWarnings("unchecked") // the call named the element's type
    private static <T> List<T> listOf(Object answer) {
        return (List<T>) answer;
    }

    private static String encoded(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
