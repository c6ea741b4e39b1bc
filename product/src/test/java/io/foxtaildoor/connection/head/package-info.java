/** Tests of the heads of HTTP messages. */
package io.foxtaildoor.connection.head;
