/**
 * Fakes of everything around the control hosts, in virtual time with a fixed seed: a group of three control hosts, their
 * network, workers, entries and operators. What these see goes into a {@link org.cornelcove.control.sim.History}.
 */
package org.cornelcove.control.sim;
