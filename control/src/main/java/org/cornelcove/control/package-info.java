/** The deterministic state machine over the log and the leader's loops. */
package org.cornelcove.control;
