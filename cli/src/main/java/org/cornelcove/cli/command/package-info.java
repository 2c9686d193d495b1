/** The commands, one class each. */
package org.cornelcove.cli.command;
