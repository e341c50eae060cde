/** Crash of an endpoint under a request. */
export interface EndpointCrash {
  readonly endpointId: string;
  /** Ids of what may be at fault, the most common first: see `suspectIdsOf`. */
  readonly suspectIds: readonly string[];
  /** Time at which the request was sent. */
  readonly sentAtMs: number;
  readonly atMs: number;
}

/** Request that an endpoint completed, as its framing confirms. */
export interface CompletedRequest {
  readonly endpointId: string;
  /** Time at which the request was sent. */
  readonly sentAtMs: number;
}

/** Keeps requests that crash endpoints, as a whole or by a part of their prompt, away from them. */
export interface CrashGuard {
  /** Returns the time for which requests with one of the ids are still rejected; undefined if they are not. */
  blockedForMs(suspectIds: readonly string[]): number | undefined;
  recordCrash(crash: EndpointCrash): void;
  /** Records that an endpoint completed its response to a request; `completed` is absent if the endpoint is not known. */
  recordCompleted(
    suspectIds: readonly string[],
    completed?: CompletedRequest,
  ): void;
}
