/** One class for each command. */
package org.cornelcove.cli.command;
