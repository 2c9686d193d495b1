/**
 * Remote calls between the system's own processes: a TCP connection carries frames, each frame carries one {@link
 * org.cornelcove.wire.Envelope} in MessagePack, and each envelope carries one typed message.
 */
package org.cornelcove.wire;
