/** Reads, checks and merges the operators' folder of rules. */
package org.cornelcove.rules;
