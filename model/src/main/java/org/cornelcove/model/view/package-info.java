/** What operators are shown. */
package org.cornelcove.model.view;
