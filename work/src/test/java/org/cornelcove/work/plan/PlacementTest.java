package org.cornelcove.work.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;

import org.cornelcove.work.Steps;
import org.cornelcove.work.job.StepSpec;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class PlacementTest {
    private static HostView host(int cpuFree, int fillCpu, double disturbance) {
        return new HostView(
                cpuFree, 8000, 0, 32_000, true, true, true, 0, 0, 0, 0, fillCpu, 16_000, disturbance, false, 0);
    }

    private static HostView host(boolean label, boolean rack, int runsOfStep, boolean failed, double failurePenalty) {
        return new HostView(
                16_000, 8000, 0, 32_000, label, rack, true, runsOfStep, 0, 0, 0, 0, 0, 0, failed, failurePenalty);
    }

    @Test
    void aWorkerWithoutRoomIsNotChosen() {
        StepSpec step = Steps.plain(1);
        assertThat(Placement.choose(step, List.of(host(999, 0, 0)), true), is(OptionalInt.empty()));
        assertThat(Placement.choose(step, List.of(host(999, 0, 0), host(1000, 0, 0)), true), is(OptionalInt.of(1)));
    }

    @Test
    void requiredLabelAndSpreadLimitAreEnforced() {
        StepSpec step = Steps.needing("gpu-kind", "", 2);
        List<HostView> hosts = List.of(host(false, true, 0, false, 0), host(true, true, 2, false, 0));
        assertThat(Placement.choose(step, hosts, true), is(OptionalInt.empty()));
    }

    @Test
    void aFullerWorkerNearTheDataIsBetterThanAnEmptyOneFarAway() {
        List<HostView> hosts = new ArrayList<>(List.of(host(true, false, 0, false, 0), host(true, true, 1, false, 0)));
        assertThat(Placement.choose(Steps.needing("", "r1", 0), hosts, true), is(OptionalInt.of(1)));
    }

    @Test
    void aTaskDoesNotGoBackToWhereItFailed() {
        List<HostView> hosts = List.of(host(true, true, 0, true, 0.7), host(true, true, 3, false, 0));
        assertThat(Placement.choose(Steps.plain(1), hosts, true), is(OptionalInt.of(1)));
    }

    /** Load pattern: lasting tasks reserve almost the whole fleet when a peak of fill work arrives. */
    @Test
    void aPeakOfFillWorkSpreadsOverUnusedProcessorAndAvoidsTheWorkerThatItDisturbs() {
        int[] fillCpu = new int[4];
        double[] disturbance = {1.5, 0, 0, 0};
        for (int i = 0; i < 12; i++) {
            List<HostView> hosts = new ArrayList<>();
            for (int h = 0; h < fillCpu.length; h++) {
                hosts.add(host(2000, fillCpu[h], disturbance[h]));
            }
            fillCpu[Placement.choose(Steps.fill("f", 2000), hosts, true).orElseThrow()] += 2000;
        }
        assertThat(fillCpu, is(new int[] {0, 8000, 8000, 8000}));
    }

    @Test
    void fillWorkThatCanWaitIsNotPlacedWhereItWouldMakeNoProgress() {
        List<HostView> hosts = List.of(host(2000, 2000, 1.5), host(0, 8000, 0));
        assertThat(Placement.choose(Steps.fill("f", 4000), hosts, true), is(OptionalInt.empty()));
        assertThat(Placement.choose(Steps.fill("f", 4000), hosts, false).isPresent(), is(true));
    }

    @Test
    void lastingTasksAreGroupedByImage() {
        HostView others = new HostView(20_000, 8000, 0, 32_000, true, true, true, 0, 3, 1, 0, 0, 12_000, 0, false, 0);
        HostView same = new HostView(4000, 8000, 0, 32_000, true, true, true, 0, 3, 0, 0, 0, 12_000, 0, false, 0);
        assertThat(Placement.choose(Steps.lasting("i", 2000, 50), List.of(others, same), true), is(OptionalInt.of(1)));
    }

    /** Load pattern: at the start of a site, 36 jobs of lasting tasks of 5 images arrive at once on 45 empty workers. */
    @Test
    void atTheStartOfASiteMostWorkersGetLastingTasksOfOneImageOnly() {
        int workers = 45;
        int[] free = new int[workers];
        int[][] images = new int[workers][5];
        Arrays.fill(free, 32_000);
        for (int job = 0; job < 36; job++) {
            int image = job % 5;
            int[] siblings = new int[workers];
            for (int task = 0; task < 6; task++) {
                List<HostView> hosts = new ArrayList<>();
                for (int h = 0; h < workers; h++) {
                    int serving = Arrays.stream(images[h]).sum();
                    double sensitivityDifference = serving == 0 ? 0 : 1 - (double) images[h][image] / serving;
                    hosts.add(new HostView(
                            free[h],
                            90_000,
                            0,
                            32_000,
                            true,
                            true,
                            true,
                            siblings[h],
                            serving,
                            sensitivityDifference,
                            0,
                            0,
                            32_000 - free[h],
                            0,
                            false,
                            0));
                }
                int chosen = Placement.choose(Steps.lasting("i" + image, 6400, 50), hosts, true)
                        .orElseThrow();
                free[chosen] -= 6400;
                images[chosen][image]++;
                siblings[chosen]++;
            }
        }
        long singleImage = Arrays.stream(images)
                .filter(host -> Arrays.stream(host).filter(n -> n > 0).count() == 1)
                .count();
        assertThat(singleImage, is(greaterThanOrEqualTo(40L)));
    }

    /** Load pattern: harmless fill work fills up the only workers on which disturbing fill work may run. */
    @Test
    void fillWorkAvoidsWorkersThatTolerateAllFillWork() {
        HostView tolerant = new HostView(9000, 8000, 0, 32_000, true, true, true, 0, 3, 0, 1, 0, 12_000, 0, false, 0);
        HostView lessTolerant =
                new HostView(2000, 8000, 0, 32_000, true, true, true, 0, 3, 0, 0.4, 0, 12_000, 0, false, 0);
        assertThat(
                Placement.choose(Steps.fill("f", 2000), List.of(tolerant, lessTolerant), true), is(OptionalInt.of(1)));
    }

    /**
     * Load pattern: two workers are full of small tasks; each second one ends and another replaces it at once. A large task
     * would never get room unless a worker is kept free for it.
     */
    @Test
    void aLargeTaskGetsRoomWhileSmallOnesComeAndGo() {
        int[] cpuFree = {0, 0};
        StepSpec large = Steps.reserving(5000);
        int seconds = 0;
        while (place(large, views(cpuFree)).isEmpty()) {
            cpuFree[seconds++ % 2] += 2000;
            int held = Placement.hold(large, views(cpuFree)).orElseThrow();
            cpuFree[1 - held] = 0;
        }
        assertThat(seconds, is(lessThan(8)));
    }

    @Test
    void noWorkerIsHeldIfOnlyLastingTasksOccupyIt() {
        HostView lasting = new HostView(4000, 8000, 0, 32_000, true, true, true, 0, 4, 0, 0, 0, 28_000, 0, false, 0);
        assertThat(Placement.hold(Steps.reserving(5000), List.of(lasting)), is(OptionalInt.empty()));
    }

    private static OptionalInt place(StepSpec step, List<HostView> hosts) {
        return Placement.choose(step, hosts, true);
    }

    private static List<HostView> views(int[] cpuFree) {
        return Arrays.stream(cpuFree).mapToObj(free -> host(free, 0, 0)).toList();
    }

    @Test
    void countsTheReasonsWhyATaskFindsNoWorker() {
        HostView full = new HostView(9000, 10, 0, 32_000, true, true, true, 0, 3, 0, 1, 0, 12_000, 0, false, 0);
        List<HostView> hosts = List.of(full, host(2000, 2000, 1.5), host(0, 8000, 0), host(0, 8000, 0));
        assertThat(
                Placement.refusals(Steps.fill("f", 4000), hosts),
                is(new Placement.Refusals(0, 0, 1, 1, 2, OptionalDouble.of(0))));
    }

    @Test
    void leastDisturbanceIsEmptyIfNoWorkerHasRoom() {
        HostView full = new HostView(9000, 10, 0, 32_000, true, true, true, 0, 3, 0, 1, 0, 12_000, 0, false, 0);
        assertThat(
                Placement.refusals(Steps.fill("f", 4000), List.of(full)),
                is(new Placement.Refusals(0, 0, 1, 0, 0, OptionalDouble.empty())));
    }
}
