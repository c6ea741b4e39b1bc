/** Selection of the upstream instance for each request; decisions only, without I/O or a clock. */
package io.foxtaildoor.request.balance;
