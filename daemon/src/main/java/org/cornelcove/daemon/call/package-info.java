/** The calls between daemons and their messages. */
package org.cornelcove.daemon.call;
