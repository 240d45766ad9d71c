/** The thread that runs one replica, the periodic tasks of the leader, and the view stream. */
package org.geraniumwharf.internal.replica;
