/**
 * Definitions of the node settings, and a reader that validates a whole YAML settings file before
 * the node starts.
 */
package io.foxtaildoor.process.settings;
