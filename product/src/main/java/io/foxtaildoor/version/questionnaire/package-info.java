/** Reads questionnaires and reports every fault with its place. */
package io.foxtaildoor.version.questionnaire;
