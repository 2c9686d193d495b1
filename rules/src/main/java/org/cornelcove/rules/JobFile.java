package org.cornelcove.rules;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import io.vavr.control.Either;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.id.Names;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.yaml.snakeyaml.nodes.Node;

/**
 * Reads a job from a YAML file, with the same validation as rule files.
 *
 * <pre>
 * id: payouts-2026-11       # optional; derived from the content by default
 * team: payouts
 * task: payout-run
 * resources: {cpu: 4, memory: 8GiB}
 * declaredRun: 40m          # optional: a hint
 * kind: batch               # optional: batch or service
 * urgent: false             # optional
 * payload: "month=2026-11"  # optional: passed to the worker unchanged
 * </pre>
 */
public final class JobFile {
    private static final List<String> KEYS =
            List.of("id", "team", "task", "resources", "declaredRun", "kind", "urgent", "payload");

    private JobFile() {}

    /**
     * Reads a job.
     *
     * @param path the file
     * @return the job, or all errors of the file ordered by line
     */
    public static Either<List<Failure>, JobSpec> read(Path path) {
        ErrorCollector errors = new ErrorCollector(path.toString());
        Optional<Node> root = YamlFile.read(path, errors);
        if (root.isEmpty() && errors.isEmpty()) {
            errors.addAt(1, ErrorKind.RULES_KEY_MISSING, "the job", "team");
        }
        Optional<JobSpec> job = root.map(node -> job(Fields.of(node, "the job", errors)));
        return errors.isEmpty() ? Either.right(job.orElseThrow()) : Either.left(List.copyOf(errors.failures()));
    }

    /**
     * Derives the id of a job from its content, so that submitting the same job again is idempotent.
     *
     * @param job the job, whose own id is ignored
     * @return the id
     */
    public static JobId idFor(JobSpec job) {
        String content = String.join(
                "\n",
                job.team(),
                job.kind().name(),
                job.task(),
                job.resources().toString(),
                String.valueOf(job.declaredRunMs()),
                String.valueOf(job.urgent()),
                job.payload());
        return JobId.of("job-" + CanonicalRules.sha256(content).substring(0, 24));
    }

    private static JobSpec job(Fields fields) {
        fields.rejectUnknownKeys(KEYS);
        Resources resources = fields.require("resources")
                ? RuleReader.resources(
                        fields.fields("resources", "the job's resources").orElseThrow())
                : Resources.NONE;
        Optional<String> id = fields.has("id") ? Optional.of(name(fields, "id")) : Optional.empty();
        JobSpec job = new JobSpec(
                JobId.of(id.orElse("unnamed")),
                fields.require("team") ? name(fields, "team") : "none",
                kind(fields),
                fields.require("task") ? name(fields, "task") : "none",
                resources,
                fields.durationMs("declaredRun", 0),
                fields.flag("urgent"),
                fields.text("payload").orElse(""));
        return id.isPresent() ? job : withId(job, idFor(job));
    }

    private static String name(Fields fields, String key) {
        Optional<String> text = fields.text(key);
        if (text.isPresent() && !Names.isName(text.get())) {
            fields.rejectValue(key, "1 to 128 letters, digits, '.', '-' or '_', starting with a letter or digit");
        }
        return text.filter(Names::isName).orElse("none");
    }

    private static JobKind kind(Fields fields) {
        Optional<String> text = fields.text("kind");
        Optional<JobKind> kind = Arrays.stream(JobKind.values())
                .filter(known -> known.name().toLowerCase(Locale.ROOT).equals(text.orElse("batch")))
                .findFirst();
        if (kind.isEmpty()) {
            fields.rejectValue("kind", "batch or service");
        }
        return kind.orElse(JobKind.BATCH);
    }

    /**
     * Returns a copy of the job with another id.
     *
     * @param job the job
     * @param id its new id
     * @return the copy
     */
    public static JobSpec withId(JobSpec job, JobId id) {
        return new JobSpec(
                id,
                job.team(),
                job.kind(),
                job.task(),
                job.resources(),
                job.declaredRunMs(),
                job.urgent(),
                job.payload());
    }
}
