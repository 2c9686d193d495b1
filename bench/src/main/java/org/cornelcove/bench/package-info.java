/** Measurements. */
package org.cornelcove.bench;
