/** The order in which engines take new weights. */
package org.geraniumwharf.weights;
