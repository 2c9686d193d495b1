package org.cornelcove.rules;

import java.util.Optional;

/**
 * What one file says about one name.
 *
 * @param file the file
 * @param line where it says so
 * @param rule the rule, empty where the file withdraws it
 * @param <T> the kind of rule
 */
record Declared<T>(String file, int line, Optional<T> rule) {}
