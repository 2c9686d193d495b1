/** The pace at which work returns after a fault or a crest. */
package org.cornelcove.policy.pace;
