/**
 * Fakes of the environment of the control hosts, in virtual time with a fixed seed: a group of three control hosts,
 * their network, workers, entries and operators. Their observations are recorded in a {@link
 * org.cornelcove.control.sim.History}.
 */
package org.cornelcove.control.sim;
