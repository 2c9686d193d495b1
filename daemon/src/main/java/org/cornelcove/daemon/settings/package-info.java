/** The daemon's settings: flags and their environment variables, validated together before any port is opened. */
package org.cornelcove.daemon.settings;
