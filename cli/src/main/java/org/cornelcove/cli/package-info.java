/**
 * The command line cornelcove.
 *
 * <p>{@code client} speaks the operators' HTTP interface, {@code command} holds one class for each command, and
 * {@code output} writes tables, JSON and errors.
 */
package org.cornelcove.cli;
