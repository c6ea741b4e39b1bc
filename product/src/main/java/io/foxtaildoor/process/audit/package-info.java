/** Audit trail of operators' actions, kept on the platform. */
package io.foxtaildoor.process.audit;
