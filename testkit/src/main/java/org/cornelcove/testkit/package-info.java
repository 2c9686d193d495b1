/** Stand-ins for targets, workers and callers. */
package org.cornelcove.testkit;
