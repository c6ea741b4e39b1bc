/** Tests of {@code io.foxtaildoor.process.platform}. */
package io.foxtaildoor.process.platform;
