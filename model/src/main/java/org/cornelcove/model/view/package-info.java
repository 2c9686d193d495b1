/** Views of the cluster for operators: the JSON bodies of the operators' HTTP interface. */
package org.cornelcove.model.view;
