/** The replicated log. */
package org.cornelcove.replication;
