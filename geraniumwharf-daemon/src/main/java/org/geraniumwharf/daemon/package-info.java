/** The program {@code geraniumwharfd}: its command line and its life from start to shutdown. */
package org.geraniumwharf.daemon;
