/** A part of the daemon that shows its state on the operators' port. */
export interface StateSource {
  readonly name: string;
  /** State as plain data; credentials and request bodies are left out. */
  dumpState(): unknown;
}
