import type {
  Address,
  KeyValueEntry,
  KeyValueStore,
  Lease,
  LeaseRequest,
  PutRequest,
  PutResult,
  WatchRequest,
  WatchResult,
} from '@skylarkreach/core/ports';

import type { TrafficCounter } from './counting-peer.js';

/** Size of the HTTP headers of a call and its answer together. */
const CALL_OVERHEAD_BYTES = 320;

/** Key-value client that counts the bytes of its calls and answers as JSON with HTTP headers. */
export class CountingKeyValue implements KeyValueStore {
  constructor(
    private readonly inner: KeyValueStore,
    private readonly caller: Address,
    private readonly traffic: TrafficCounter,
  ) {}

  get(key: string, deadlineAtMs: number): Promise<KeyValueEntry | undefined> {
    return this.countBytes(key, this.inner.get(key, deadlineAtMs));
  }

  list(
    prefix: string,
    deadlineAtMs: number,
  ): Promise<readonly KeyValueEntry[]> {
    return this.countBytes(prefix, this.inner.list(prefix, deadlineAtMs));
  }

  put(request: PutRequest): Promise<PutResult> {
    return this.countBytes(request, this.inner.put(request));
  }

  watch(request: WatchRequest): Promise<WatchResult> {
    return this.countBytes(request, this.inner.watch(request));
  }

  acquireLease(request: LeaseRequest): Promise<Lease | undefined> {
    return this.countBytes(request, this.inner.acquireLease(request));
  }

  releaseLease(lease: Lease, deadlineAtMs: number): Promise<void> {
    return this.countBytes(lease, this.inner.releaseLease(lease, deadlineAtMs));
  }

  private async countBytes<T>(
    request: unknown,
    answer: Promise<T>,
  ): Promise<T> {
    this.traffic.add(this.caller, CALL_OVERHEAD_BYTES + jsonBytes(request));
    const result = await answer;
    this.traffic.add(this.caller, jsonBytes(result));
    return result;
  }
}

function jsonBytes(message: unknown): number {
  return Buffer.byteLength(JSON.stringify(message ?? null));
}
