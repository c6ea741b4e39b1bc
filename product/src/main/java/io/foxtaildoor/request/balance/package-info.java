/**
 * Selection of the upstream instance for each request; contains only decisions, without I/O or a
 * clock.
 */
package io.foxtaildoor.request.balance;
