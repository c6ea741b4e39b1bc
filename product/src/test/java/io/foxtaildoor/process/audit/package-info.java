/** Tests of {@code io.foxtaildoor.process.audit}. */
package io.foxtaildoor.process.audit;
