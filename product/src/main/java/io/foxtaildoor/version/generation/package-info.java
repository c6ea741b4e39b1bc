/** Generates team configurations from questionnaires, renders, compares and cross-checks them. */
package io.foxtaildoor.version.generation;
