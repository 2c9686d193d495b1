/** The deterministic state behind the replicated log: rules, jobs, runs. */
package org.cornelcove.work.state;
