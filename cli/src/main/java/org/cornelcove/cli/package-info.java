/** The command line cornelcove. */
package org.cornelcove.cli;
