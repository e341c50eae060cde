/** One stored value. `version` rises by one with every write of the key. */
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

export interface PutRequest {
  readonly key: string;
  /** At most `MAX_VALUE_BYTES` bytes of UTF-8. */
  readonly value: string;
  /** Version that the writer read; 0 where the key must not exist. */
  readonly expectedVersion: number;
  readonly deadlineAtMs: number;
}

export interface PutResult {
  readonly outcome: PutOutcome;
  /** Version in force after the call: the new one, or the one that conflicted. */
  readonly version: number;
}

/** Right to act for `name` until `expiresAtMs`. Only a hint: writes are guarded by compare-and-swap. */
export interface Lease {
  readonly name: string;
  readonly holder: string;
  /** Rises with every change of holder. */
  readonly fencingNumber: number;
  /** Milliseconds since the Unix epoch, by the holder's clock, taken before the call was sent. */
  readonly expiresAtMs: number;
}

export interface LeaseRequest {
  readonly name: string;
  readonly holder: string;
  readonly expiresAtMs: number;
  readonly deadlineAtMs: number;
}

export interface WatchRequest {
  readonly prefix: string;
  /** Answer once any key under the prefix has a store revision above this one. */
  readonly afterRevision: number;
  readonly deadlineAtMs: number;
}

export interface WatchResult {
  /** Revision of the whole store when the answer was made. */
  readonly revision: number;
  /** Entries under the prefix that changed after the revision asked for. */
  readonly entries: readonly KeyValueEntry[];
}

/** Largest value that the key-value service takes, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/**
 * The platform's key-value service. Every call counts against its rate.
 * All calls throw `KeyValueUnavailableError` where nothing took effect and
 * `AnswerLostError` where a write may have taken effect.
 */
export interface KeyValue {
  get(key: string, deadlineAtMs: number): Promise<KeyValueEntry | undefined>;
  /** Entries whose key starts with the prefix, ordered by key. */
  list(prefix: string, deadlineAtMs: number): Promise<readonly KeyValueEntry[]>;
  /** Writes by compare-and-swap. */
  put(request: PutRequest): Promise<PutResult>;
  /** Waits for a change; answers with no entries at the deadline. */
  watch(request: WatchRequest): Promise<WatchResult>;
  /** Takes or renews a lease; undefined where another holder has it. */
  acquireLease(request: LeaseRequest): Promise<Lease | undefined>;
  /** Ends a lease early; no effect where the holder no longer has it. */
  releaseLease(lease: Lease, deadlineAtMs: number): Promise<void>;
}

/** Reads every entry under a prefix together with the revision that they are of. */
export interface SnapshotReader {
  /** Throws as `KeyValue` does. */
  readPrefix(prefix: string, deadlineAtMs: number): Promise<WatchResult>;
}
