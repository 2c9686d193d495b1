/**
 * Calls between the system's own processes: a TCP connection carries frames, a frame carries one {@link
 * org.cornelcove.wire.Envelope} in MessagePack, and an envelope carries one typed message.
 */
package org.cornelcove.wire;
