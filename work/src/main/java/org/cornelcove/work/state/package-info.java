/** The deterministic state machine of the replicated log: rules, jobs, runs. */
package org.cornelcove.work.state;
