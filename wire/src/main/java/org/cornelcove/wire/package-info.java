/** Framed MessagePack calls between processes. */
package org.cornelcove.wire;
