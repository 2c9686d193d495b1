/** The daemon cornelcoved. */
package org.cornelcove.daemon;
