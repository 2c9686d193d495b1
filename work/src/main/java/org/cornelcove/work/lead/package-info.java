/** The leader's loop: it places tasks, calls workers and records the ends of runs. */
package org.cornelcove.work.lead;
