/** Models built from delayed measurements: run times by kind of work, and interference between pairs of tasks. */
package org.cornelcove.policy.learn;
