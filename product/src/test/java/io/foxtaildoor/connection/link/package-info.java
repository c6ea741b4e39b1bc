/** Tests of the links between nodes. */
package io.foxtaildoor.connection.link;
