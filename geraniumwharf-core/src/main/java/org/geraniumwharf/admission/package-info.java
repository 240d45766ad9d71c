/** Rate limits of organisations, fair queueing before dispatch, and early rejection. */
package org.geraniumwharf.admission;
