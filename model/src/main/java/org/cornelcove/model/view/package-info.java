/** What operators see of the cluster: the JSON bodies of the operators' HTTP interface. */
package org.cornelcove.model.view;
