/** Scheduling decisions without I/O. */
package org.cornelcove.policy;
