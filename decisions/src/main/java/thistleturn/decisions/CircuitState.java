package thistleturn.decisions;

/**
 * How a lane is: well, out (single trials only), or on its way back (paced until it is surely
 * warm).
 */
enum CircuitState {
  WELL,
  OUT,
  RAMP
}
