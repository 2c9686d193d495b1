/** The deterministic state machine over the log, in {@code state}, and the leader's loops, in {@code leader}. */
package org.cornelcove.control;
