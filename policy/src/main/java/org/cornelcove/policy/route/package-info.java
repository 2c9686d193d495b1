/** Routing: which target a request is sent to. */
package org.cornelcove.policy.route;
