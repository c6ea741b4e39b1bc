/** Tests of {@code io.foxtaildoor.version.approval}. */
package io.foxtaildoor.version.approval;
