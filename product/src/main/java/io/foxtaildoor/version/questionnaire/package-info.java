/** Reads questionnaires and reports every problem with its path and line number. */
package io.foxtaildoor.version.questionnaire;
