/** Faults in clusters of real processes on loopback, and checkers that read only what was seen from outside. */
package org.cornelcove.testkit.fault;
