/** Value types, the list of error kinds and helpers that the other packages share. */
package io.foxtaildoor.common;
