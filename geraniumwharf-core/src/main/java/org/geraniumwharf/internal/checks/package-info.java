/** Argument checks shared by every package. */
package org.geraniumwharf.internal.checks;
