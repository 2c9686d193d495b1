package org.cornelcove.work.plan;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class JobSizesTest {
    @ParameterizedTest
    @CsvSource({"1, OTHER", "70, OTHER", "71, LARGE", "90, LARGE", "91, LARGEST", "1000, LARGEST"})
    void jobsAreRankedAgainstTheRecentOnes(long work, JobSizes.Rank rank) {
        JobSizes sizes = new JobSizes();
        for (int i = 1; i <= 100; i++) {
            sizes.observe(i);
        }
        assertThat(sizes.rank(work), is(rank));
    }

    @Test
    void fewJobsHaveNoRank() {
        JobSizes sizes = new JobSizes();
        sizes.observe(1);
        assertThat(sizes.rank(2), is(JobSizes.Rank.OTHER));
    }

    @Test
    void earlierSizesAreForgotten() {
        JobSizes sizes = new JobSizes();
        for (int i = 0; i < 1000; i++) {
            sizes.observe(i < 500 ? 1_000_000 : i);
        }
        assertThat(sizes.rank(2000), is(JobSizes.Rank.LARGEST));
    }
}
