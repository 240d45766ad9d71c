/** Durable state of a replica: a checksummed log, snapshots, and the lock on the data folder. */
package org.geraniumwharf.internal.storage;
