/** One class for each kind of stand-in, and how they announce themselves. */
package org.geraniumwharf.internal.testing;
