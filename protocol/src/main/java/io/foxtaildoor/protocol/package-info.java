/** Messages between nodes, generated from the protocol definitions. */
package io.foxtaildoor.protocol;
