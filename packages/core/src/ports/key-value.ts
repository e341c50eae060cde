/** Stored value of one key. `version` increases by one with each write of the key. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

export enum PutOutcome {
  Written = 'written',
  /** The stored version differs from the expected one; nothing was written. */
  Conflict = 'conflict',
}

/** Compare-and-swap write of one key. */
export interface PutRequest {
  readonly key: string;
  /** At most `MAX_VALUE_BYTES` bytes of UTF-8. */
  readonly value: string;
  /** Version that the writer has read; 0 where the key must not exist. */
  readonly expectedVersion: number;
  readonly deadlineAtMs: number;
}

export interface PutResult {
  readonly outcome: PutOutcome;
  /** Version after the call: the new one, or the stored one where it conflicts. */
  readonly version: number;
}

/**
 * Lease on `name` until `expiresAtMs`. It is advisory: correctness rests on
 * compare-and-swap writes.
 */
export interface Lease {
  readonly name: string;
  readonly holder: string;
  /** Fencing token; increases with each change of holder. */
  readonly fencingNumber: number;
  /** Milliseconds since the Unix epoch, by the clock of the holder, read before the call was sent. */
  readonly expiresAtMs: number;
}

/** Request to acquire or renew a lease. */
export interface LeaseRequest {
  readonly name: string;
  readonly holder: string;
  readonly expiresAtMs: number;
  readonly deadlineAtMs: number;
}

/** Long poll for changes under a prefix. */
export interface WatchRequest {
  readonly prefix: string;
  /** The watch returns once a key under the prefix has a store revision above this one. */
  readonly afterRevision: number;
  readonly deadlineAtMs: number;
}

export interface WatchResult {
  /** Revision of the whole store at the time of the response. */
  readonly revision: number;
  /** Entries under the prefix that changed after `afterRevision`, each key once, in its newest version. */
  readonly entries: readonly KeyValueEntry[];
  /** Keys under the prefix whose newest change after `afterRevision` is their removal. Absent where the service does not tell. */
  readonly removedKeys?: readonly string[];
  /** Whether `entries` are all entries under the prefix instead of those that changed. */
  readonly isWhole?: boolean;
  /** Whether all of a whole result was read at `revision`; later pages may be newer. */
  readonly isSnapshot?: boolean;
}

/** Maximum size of a value in the key-value service, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/**
 * Client of the platform's key-value service. Every call counts against the rate
 * limit of the service. All calls throw `KeyValueUnavailableError` where the call
 * had no effect and `AnswerLostError` where a write may have taken effect.
 */
export interface KeyValueStore {
  get(key: string, deadlineAtMs: number): Promise<KeyValueEntry | undefined>;
  /** Returns the entries whose key starts with the prefix, ordered by key. */
  list(prefix: string, deadlineAtMs: number): Promise<readonly KeyValueEntry[]>;
  /** Writes by compare-and-swap. */
  put(request: PutRequest): Promise<PutResult>;
  /** Waits for a change; returns no entries at the deadline. */
  watch(request: WatchRequest): Promise<WatchResult>;
  /** Acquires or renews a lease. Returns undefined where another holder has it. */
  acquireLease(request: LeaseRequest): Promise<Lease | undefined>;
  /** Releases a lease before it expires. Has no effect where the holder no longer has it. */
  releaseLease(lease: Lease, deadlineAtMs: number): Promise<void>;
}

/** Request for the changes under a prefix that the service already has. */
export interface ChangesRequest {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly deadlineAtMs: number;
  /** Whether to use a new connection. */
  readonly freshConnection: boolean;
}

/** Reader of changes that does not wait for them. */
export interface ChangeReader {
  /**
   * Returns the changes under a prefix like a watch, but at once, also where there
   * are none. Throws the same errors as the calls of the key-value service.
   */
  readChanges(request: ChangesRequest): Promise<WatchResult>;
}

/** Reader of consistent snapshots: all entries under a prefix at one revision. */
export interface SnapshotReader {
  /**
   * Returns all entries under the prefix and their revision, on a new connection
   * if `freshConnection` is set. Throws the same errors as the calls of the
   * key-value service.
   */
  readPrefix(
    prefix: string,
    deadlineAtMs: number,
    freshConnection?: boolean,
  ): Promise<WatchResult>;
}
