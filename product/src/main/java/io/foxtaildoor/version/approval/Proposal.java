package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.version.generation.ConfigurationGenerator;
import io.foxtaildoor.version.questionnaire.LineNumbers;
import io.foxtaildoor.version.questionnaire.Questionnaire;
import io.foxtaildoor.version.questionnaire.ReadResult;

/**
 * A valid questionnaire and the configuration generated from it.
 *
 * @param content the serialized configuration
 * @param digest digest of the content
 */
@SuppressWarnings("ArrayRecordComponent") // Instances are never compared with equals.
record Proposal(
    Questionnaire questionnaire,
    LineNumbers places,
    TeamConfiguration configuration,
    byte[] content,
    Digest digest) {
  static Proposal of(ReadResult.Valid valid) {
    TeamConfiguration configuration = ConfigurationGenerator.generate(valid.questionnaire());
    byte[] content = configuration.toByteArray();
    return new Proposal(
        valid.questionnaire(), valid.lineNumbers(), configuration, content, Digest.of(content));
  }
}
