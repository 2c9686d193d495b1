/** Pure scheduling decisions. */
package org.cornelcove.policy;
