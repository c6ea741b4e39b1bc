/** Tests of membership. */
package io.foxtaildoor.process.membership;
