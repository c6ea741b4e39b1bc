/** Tests of {@code io.foxtaildoor.version.questionnaire}. */
package io.foxtaildoor.version.questionnaire;
