/** Load that one daemon has at an endpoint, as sent to its peers. */
export interface EndpointLoad {
  readonly running: number;
  /** Uncached prompt tokens of the requests whose first event has not arrived. */
  readonly backlogTokens: number;
}
