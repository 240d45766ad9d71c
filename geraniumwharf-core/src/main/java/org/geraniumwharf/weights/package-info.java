/** Rollout order in which engines load new weights. */
package org.geraniumwharf.weights;
