/** Keys of callers, operators and targets, kept only as salted hashes. */
package org.geraniumwharf.credential;
