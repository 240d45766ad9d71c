/** The control role: replicated configuration, targets and run records, and the view stream. */
package org.geraniumwharf.control;
