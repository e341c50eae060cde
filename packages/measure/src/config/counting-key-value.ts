import type {
  Address,
  KeyValue,
  KeyValueEntry,
  Lease,
  LeaseRequest,
  PutRequest,
  PutResult,
  WatchRequest,
  WatchResult,
} from '@skylarkreach/core/ports';

import type { TrafficCount } from './counting-peer.js';

/** Bytes of the headers of a call and of its answer. */
const CALL_OVERHEAD_BYTES = 320;

/** Counts the bytes that one daemon exchanges with the key-value service. */
export class CountingKeyValue implements KeyValue {
  constructor(
    private readonly inner: KeyValue,
    private readonly caller: Address,
    private readonly traffic: TrafficCount,
  ) {}

  get(key: string, deadlineAtMs: number): Promise<KeyValueEntry | undefined> {
    return this.counted(key, this.inner.get(key, deadlineAtMs));
  }

  list(
    prefix: string,
    deadlineAtMs: number,
  ): Promise<readonly KeyValueEntry[]> {
    return this.counted(prefix, this.inner.list(prefix, deadlineAtMs));
  }

  put(request: PutRequest): Promise<PutResult> {
    return this.counted(request, this.inner.put(request));
  }

  watch(request: WatchRequest): Promise<WatchResult> {
    return this.counted(request, this.inner.watch(request));
  }

  acquireLease(request: LeaseRequest): Promise<Lease | undefined> {
    return this.counted(request, this.inner.acquireLease(request));
  }

  releaseLease(lease: Lease, deadlineAtMs: number): Promise<void> {
    return this.counted(lease, this.inner.releaseLease(lease, deadlineAtMs));
  }

  private async counted<T>(request: unknown, answer: Promise<T>): Promise<T> {
    this.traffic.add(this.caller, CALL_OVERHEAD_BYTES + bytesOf(request));
    const result = await answer;
    this.traffic.add(this.caller, bytesOf(result));
    return result;
  }
}

function bytesOf(message: unknown): number {
  return Buffer.byteLength(JSON.stringify(message ?? null));
}
