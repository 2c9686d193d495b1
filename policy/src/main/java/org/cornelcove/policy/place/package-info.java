/** Placement: which waiting job starts next, and on which host. */
package org.cornelcove.policy.place;
