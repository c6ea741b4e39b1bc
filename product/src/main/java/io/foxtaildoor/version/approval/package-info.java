/** Submission, amendment and approval of questionnaires on the platform. */
package io.foxtaildoor.version.approval;
