/** Tests of the listener for callers against links that the tests control. */
package io.foxtaildoor.connection.caller;
