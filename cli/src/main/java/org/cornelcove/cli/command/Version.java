package org.cornelcove.cli.command;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

import picocli.CommandLine.IVersionProvider;

/** Reads the version that the build wrote into the jar. */
final class Version implements IVersionProvider {
    private static final String PROPERTIES = "/META-INF/maven/org.cornelcove/cornelcove-cli/pom.properties";

    @Override
    public String[] getVersion() throws IOException {
        Properties properties = new Properties();
        try (InputStream in = Version.class.getResourceAsStream(PROPERTIES)) {
            if (in != null) {
                properties.load(in);
            }
        }
        return new String[] {"cornelcove " + properties.getProperty("version", "development")};
    }
}
