/** Value types and the closed list of errors that every other package uses. */
package io.foxtaildoor.common;
