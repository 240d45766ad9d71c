/** The edge that operators and their command line reach. */
package org.geraniumwharf.internal.operator;
