/** Tests the listener for callers with fake links that the tests control. */
package io.foxtaildoor.connection.caller;
