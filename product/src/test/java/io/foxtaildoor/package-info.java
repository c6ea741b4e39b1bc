/** What all tests share. */
package io.foxtaildoor;
