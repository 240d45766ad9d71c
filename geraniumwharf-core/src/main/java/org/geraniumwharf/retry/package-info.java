/** Limits on retries: budgets and backoff. */
package org.geraniumwharf.retry;
