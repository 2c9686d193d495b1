/** Pure decisions about queue order, placement, pacing and health; no I/O, no clock, no thread. */
package org.cornelcove.work.plan;
