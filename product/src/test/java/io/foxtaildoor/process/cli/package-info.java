/** Tests of the command line. */
package io.foxtaildoor.process.cli;
