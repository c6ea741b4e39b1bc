/** Tests of the membership protocol. */
package io.foxtaildoor.process.membership;
