/** Tests of the load generator. */
package io.foxtaildoor.process.load;
