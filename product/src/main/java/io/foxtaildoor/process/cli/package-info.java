/** The command line: one class for each subcommand. */
package io.foxtaildoor.process.cli;
