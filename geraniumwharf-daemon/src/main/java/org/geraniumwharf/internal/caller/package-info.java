/** The edge that callers and announcing targets reach. */
package org.geraniumwharf.internal.caller;
