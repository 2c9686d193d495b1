package org.cornelcove.rules;

import java.util.Optional;

/**
 * A rule or its withdrawal, with the place of its declaration.
 *
 * @param file the file
 * @param line the line in the file, from 1
 * @param rule the rule, empty where the file withdraws it
 * @param <T> the type of rule
 */
record Declared<T>(String file, int line, Optional<T> rule) {}
