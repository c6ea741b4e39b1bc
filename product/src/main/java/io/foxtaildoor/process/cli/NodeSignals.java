package io.foxtaildoor.process.cli;

/**
 * Signals of a node process.
 *
 * @param hangUps signals to read the settings again
 * @param termination planned stop
 */
record NodeSignals(HangUpSignals hangUps, TerminationHook termination) {
  /** Creates the receivers of the signals without installing them. */
  NodeSignals() {
    this(new HangUpSignals(), new TerminationHook());
  }

  /** Installs the receivers; until then a signal ends the process as the JVM does by default. */
  void install() {
    hangUps.install();
    termination.install();
  }
}
