package org.cornelcove.rules;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.cornelcove.model.error.Failure;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class JobFileTest {
    @TempDir
    private Path folder;

    @Test
    void readsAJob() throws IOException {
        JobSpec job = JobFile.read(write("id: a\nteam: t\ntask: k\nresources: {cpu: 2, memory: 1GiB}\nkind: service"))
                .get();
        assertThat(job.id().value(), is("a"));
        assertThat(job.kind(), is(JobKind.SERVICE));
        assertThat(job.resources(), is(Resources.of(2000, 1L << 30, 0)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'' | :1: the job lacks the key 'team'",
                "team: a | :1: the job lacks the key 'resources'",
                "'{team: a, task: b, resources: 4}' | '4' is not usable for the job's resources",
                "'{team: a, task: b, resources: {cpu: -1, memory: 1B}}' | '-1' is not usable for the job's resources cpu",
                "'{id: a b, team: a, task: b, resources: {cpu: 1, memory: 1B}}' | 'a b' is not usable for the job id",
                "'{kind: long, team: a, task: b, resources: {cpu: 1, memory: 1B}}' | give batch or service",
                "'{size: 1, team: a, task: b, resources: {cpu: 1, memory: 1B}}' | unknown key 'size'; known here are id, team",
            })
    void rejects(String yaml, String message) throws IOException {
        List<Failure> failures = JobFile.read(write(yaml)).getLeft();
        assertThat(failures.get(0).message(), containsString(message));
    }

    private Path write(String yaml) throws IOException {
        return Files.writeString(folder.resolve("job.yaml"), yaml);
    }
}
