/** JMH microbenchmarks of the work that a node does for each request and each change. */
package io.foxtaildoor.benchmarks;
