/** How targets are spoken to: one interface for each kind, each with one HTTP implementation. */
package org.geraniumwharf.internal.target;
