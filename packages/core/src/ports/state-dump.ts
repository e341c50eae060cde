/** Component of the daemon whose state is shown on the operators' port. */
export interface StateSource {
  readonly name: string;
  /** Returns the state as plain data, without credentials and request bodies. */
  dumpState(): unknown;
}
