package io.foxtaildoor.version.questionnaire;

/** All kinds of problems that a questionnaire can have. */
public enum ProblemKind {
  /** The document is not well-formed YAML. */
  SYNTAX,
  /** The document, a list or a string is longer than its limit, or values are nested too deeply. */
  TOO_LARGE,
  /** The document uses an anchor, alias or tag, which are not allowed in questionnaires. */
  YAML_FEATURE,
  /** A mapping has a key that is not defined. */
  UNKNOWN_KEY,
  /** A mapping lacks a required key. */
  MISSING_KEY,
  /** A key occurs twice in one mapping. */
  DUPLICATE_KEY,
  /** A value does not have the type that its key requires. */
  WRONG_TYPE,
  /** A value does not have the format that its key requires, for example a unit is missing. */
  MALFORMED_VALUE,
  /** An id has a length or characters that are not allowed in ids. */
  MALFORMED_ID,
  /** A number, duration or size is outside its range. */
  OUT_OF_RANGE,
  /** A name, id or list element occurs twice. */
  DUPLICATE_NAME,
  /** Values that are valid by themselves contradict each other. */
  INCONSISTENT,
  /** Two routes match the same requests with equal precedence, or routes of two teams overlap. */
  ROUTE_OVERLAP,
  /** A route names a service that does not exist. */
  UNKNOWN_SERVICE,
  /** A list of callers names a service that no team has. */
  UNKNOWN_CALLER,
  /** The questionnaire defines a service that belongs to another team. */
  SERVICE_TAKEN,
  /** The questionnaire is for a team that belongs to another member. */
  TEAM_TAKEN,
  /** A service was removed that another team still refers to. */
  SERVICE_IN_USE
}
