package io.foxtaildoor.version.questionnaire;

/** The closed list of faults that a questionnaire can have. */
public enum ProblemKind {
  /** The document is not well-formed YAML. */
  SYNTAX,
  /** The document, a list or a text is larger than its limit. */
  TOO_LARGE,
  /** An anchor, alias or tag, none of which a questionnaire may have. */
  YAML_FEATURE,
  /** A key that does not exist. */
  UNKNOWN_KEY,
  /** A required key is absent. */
  MISSING_KEY,
  /** A key occurs twice in one mapping. */
  DUPLICATE_KEY,
  /** A value has another type than its key asks for. */
  WRONG_TYPE,
  /** A value does not have the form that its key asks for, for example its unit. */
  MALFORMED_VALUE,
  /** An id has characters or a length that ids may not have. */
  MALFORMED_ID,
  /** A number, duration or size is outside its range. */
  OUT_OF_RANGE,
  /** A name, id or list element occurs twice. */
  DUPLICATE_NAME,
  /** Values that are valid alone contradict each other. */
  INCONSISTENT,
  /** Two routes match the same requests. */
  ROUTE_OVERLAP,
  /** A route names a service that does not exist. */
  UNKNOWN_SERVICE,
  /** A caller is not a service of any team. */
  UNKNOWN_CALLER,
  /** The service belongs to another team. */
  SERVICE_TAKEN,
  /** The team belongs to another member. */
  TEAM_TAKEN,
  /** A removed service is still named by another team. */
  SERVICE_IN_USE
}
