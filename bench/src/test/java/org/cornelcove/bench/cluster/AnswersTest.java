package org.cornelcove.bench.cluster;

import java.util.List;
import java.util.OptionalLong;

import org.cornelcove.model.id.TargetId;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class AnswersTest {
    private static final TargetId TARGET = TargetId.of("target-1");

    private final Answers answers = new Answers(100);

    @Test
    void aRequestSentBeforeCountsForNothing() {
        answers.answered(TARGET, 99, 130);
        assertThat(answers.waitNs(TARGET), is(OptionalLong.empty()));
        assertThat(answers.haveAll(List.of(TARGET)), is(false));
    }

    @Test
    void theFirstAnswerCountsInWhicheverOrderTheyAreNoted() {
        answers.answered(TARGET, 120, 150);
        answers.answered(TARGET, 110, 140);
        answers.answered(TARGET, 100, 160);
        assertThat(answers.waitNs(TARGET), is(OptionalLong.of(40)));
        assertThat(answers.haveAll(List.of(TARGET)), is(true));
    }

    @Test
    void watchingFromLaterDropsWhatWasSeen() {
        answers.answered(TARGET, 110, 140);
        answers.watchSince(200);
        assertThat(answers.haveAll(List.of(TARGET)), is(false));
    }
}
