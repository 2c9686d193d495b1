/** Fault injection into clusters of real processes on loopback, and checks that use external observations only. */
package org.cornelcove.testkit.fault;
