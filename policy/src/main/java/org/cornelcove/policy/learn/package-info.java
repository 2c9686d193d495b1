/** What is learned from late measurements: run times by kind of work, and which pairs of tasks disturb each other. */
package org.cornelcove.policy.learn;
