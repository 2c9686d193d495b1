/** Structured log lines on the standard output, bounded and never blocking. */
package org.cornelcove.work.log;
