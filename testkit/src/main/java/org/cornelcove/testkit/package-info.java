/** Stand-ins for targets, workers and callers, for trials and tests. Not shipped. */
package org.cornelcove.testkit;
