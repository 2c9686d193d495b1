import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/** Prints the fault matrix from the Surefire reports and from the violation counts that ClusterFaultTest writes. */
final class FaultMatrix {
    private static final Path CELLS = Path.of("testkit/target/fault-cells.tsv");
    private static final Path SCENARIOS = Path.of("testkit/src/test/java/org/cornelcove/testkit/fault/Scenario.java");
    private static final List<String> MODULES = List.of("replication", "control", "entry", "testkit");

    private FaultMatrix() {}

    /** The number of test cases of a row that ran, the number of their failures and errors, and the seeds they used. */
    private static final class Count {
        int run;
        int red;
        final TreeSet<String> seeds = new TreeSet<>();
    }

    public static void main(String[] args) throws Exception {
        boolean red = printReports();
        red |= printClusters();
        System.exit(red ? 1 : 0);
    }

    /**
     * Prints one row for each fault of a FaultMatrixTest and one for each other test class. A module without reports
     * gets a row marked as not run.
     *
     * @return whether any test case failed
     */
    private static boolean printReports() throws Exception {
        Map<String, Count> rows = new TreeMap<>();
        for (String module : MODULES) {
            Path reports = Path.of(module, "target", "surefire-reports");
            if (!Files.isDirectory(reports)) {
                rows.put(module, new Count());
                continue;
            }
            try (Stream<Path> files = Files.list(reports)) {
                for (Path file : files.filter(f -> f.toString().endsWith(".xml")).toList()) {
                    count(module, file, rows);
                }
            }
        }
        System.out.printf("%-66s %8s %10s  %s%n", "in one process: suite, fault", "cells", "violated", "seeds");
        rows.forEach(FaultMatrix::print);
        return rows.values().stream().anyMatch(count -> count.red > 0);
    }

    private static void count(String module, Path file, Map<String, Count> rows) throws Exception {
        NodeList testCases = DocumentBuilderFactory.newInstance()
                .newDocumentBuilder()
                .parse(file.toFile())
                .getElementsByTagName("testcase");
        for (int i = 0; i < testCases.getLength(); i++) {
            Element testCase = (Element) testCases.item(i);
            String suite = testCase.getAttribute("classname").replaceAll(".*\\.", "");
            if (suite.equals("ClusterFaultTest")) {
                continue;
            }
            String name = testCase.getAttribute("name");
            boolean isFaultMatrix = suite.equals("FaultMatrixTest");
            String row = module + " " + suite + (isFaultMatrix ? " " + faultIn(name) : "");
            Count count = rows.computeIfAbsent(row, r -> new Count());
            count.run++;
            count.red += testCase.getElementsByTagName("failure").getLength()
                    + testCase.getElementsByTagName("error").getLength();
            Matcher seed = Pattern.compile("seed=(\\d+)").matcher(name);
            if (seed.find()) {
                count.seeds.add(seed.group(1));
            }
        }
    }

    /**
     * Reads the fault from {@code fault=NAME}, or else from {@code STEP, FAULT} in the name of a test case.
     *
     * @return the fault, or "(none)" if the name has neither form
     */
    private static String faultIn(String name) {
        Matcher labelled = Pattern.compile("fault=([A-Z_]+)").matcher(name);
        if (labelled.find()) {
            return labelled.group(1);
        }
        Matcher positional = Pattern.compile("[A-Z_]{3,}, ([A-Z_]{3,})").matcher(name);
        return positional.find() ? positional.group(1) : "(none)";
    }

    private static void print(String row, Count count) {
        String run = count.run == 0 ? "not run" : Integer.toString(count.run);
        System.out.printf("%-66s %8s %10d  %s%n", row, run, count.red, String.join(",", count.seeds));
    }

    /**
     * Prints the number of violations of each guarantee (row) in each scenario (column), or a dash if there is no
     * result.
     *
     * @return whether any guarantee was violated
     */
    private static boolean printClusters() throws Exception {
        List<String> scenarios = new ArrayList<>();
        Matcher constants = Pattern.compile("(?m)^ {4}([A-Z_]+)\\(").matcher(Files.readString(SCENARIOS));
        while (constants.find()) {
            scenarios.add(constants.group(1));
        }
        Map<String, Map<String, Integer>> cells = new TreeMap<>();
        TreeSet<String> seeds = new TreeSet<>();
        List<String> lines = Files.exists(CELLS) ? Files.readAllLines(CELLS) : List.of();
        for (String line : lines) {
            String[] cell = line.split("\t");
            cells.computeIfAbsent(cell[0], c -> new TreeMap<>()).merge(cell[1], Integer.parseInt(cell[2]), Integer::sum);
            seeds.add(cell[3]);
        }
        System.out.printf("%nreal processes: guarantee by scenario, violations (- is not run, or without a verdict)%n");
        for (int i = 0; i < scenarios.size(); i++) {
            System.out.printf("  %d %s%n", i + 1, scenarios.get(i));
        }
        System.out.printf("%-34s", "");
        for (int i = 0; i < scenarios.size(); i++) {
            System.out.printf("%5d", i + 1);
        }
        System.out.printf("   seeds%n");
        cells.forEach((guarantee, row) -> System.out.printf(
                "%-34s%s   %s%n",
                guarantee,
                scenarios.stream()
                        .map(s -> String.format("%5s", row.containsKey(s) ? row.get(s).toString() : "-"))
                        .collect(Collectors.joining()),
                String.join(",", seeds)));
        if (cells.isEmpty()) {
            System.out.println("not run");
        }
        return cells.values().stream().flatMap(row -> row.values().stream()).anyMatch(violations -> violations > 0);
    }
}
