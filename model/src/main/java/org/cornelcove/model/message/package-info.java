/** Heartbeats and their answers. */
package org.cornelcove.model.message;
