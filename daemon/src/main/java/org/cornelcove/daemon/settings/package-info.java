/** The daemon's settings: flags with their environment variables, checked as a whole before a port opens. */
package org.cornelcove.daemon.settings;
