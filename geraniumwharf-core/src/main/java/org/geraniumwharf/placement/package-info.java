/**
 * Decides which target loads which weights: the bounds that every order keeps, the next orders, and
 * the number of replicas that demand requires. Pure functions of the replicated state.
 */
package org.geraniumwharf.placement;
