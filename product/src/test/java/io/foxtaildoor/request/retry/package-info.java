/**
 * Tests of the retry policy and the retry budgets, and a calculation of how retries multiply along
 * a call chain.
 */
package io.foxtaildoor.request.retry;
