/** JMH microbenchmarks of what a node does for each request and each configuration change. */
package io.foxtaildoor.benchmarks;
