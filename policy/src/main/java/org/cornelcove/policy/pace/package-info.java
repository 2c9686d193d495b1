/** Rate limits for work that restarts after a fault or a load peak. */
package org.cornelcove.policy.pace;
