package io.foxtaildoor.process.operator;

import io.foxtaildoor.version.approval.ApprovalReceipt;

/** JSON response to an approval. */
record ApprovalAnswer(String team, long version, String digest, boolean acceptedBefore) {
  static ApprovalAnswer of(ApprovalReceipt receipt) {
    return new ApprovalAnswer(
        receipt.team().value(),
        receipt.stamp().version(),
        receipt.stamp().digest().hex(),
        receipt.acceptedBefore());
  }
}
