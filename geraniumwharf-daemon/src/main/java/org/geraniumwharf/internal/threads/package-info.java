/** Threads of the daemon. */
package org.geraniumwharf.internal.threads;
