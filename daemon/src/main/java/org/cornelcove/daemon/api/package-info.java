/** The HTTP interface for operators, targets and workers. */
package org.cornelcove.daemon.api;
