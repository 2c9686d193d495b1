/** Structured, bounded and non-blocking logging to the standard output, and metrics. */
package org.cornelcove.work.log;
