import type {
  Clock,
  KeyValueEntry,
  KeyValueStore,
  Lease,
  LeaseRequest,
  PutRequest,
  PutResult,
  WatchRequest,
  WatchResult,
} from '../ports/index.js';
import { MAX_VALUE_BYTES, PutOutcome } from '../ports/index.js';

interface StoredEntry extends KeyValueEntry {
  readonly revision: number;
}

/** In-memory key-value service with the semantics of the platform's service. */
export class MemoryKeyValue implements KeyValueStore {
  private readonly entries = new Map<string, StoredEntry>();
  private readonly leases = new Map<string, Lease>();
  private readonly listeners = new Set<() => void>();
  private readonly closeController = new AbortController();
  private revision = 0;

  constructor(private readonly clock: Clock) {}

  get(key: string): Promise<KeyValueEntry | undefined> {
    return Promise.resolve(this.read(key));
  }

  list(prefix: string): Promise<readonly KeyValueEntry[]> {
    const matching = [...this.entries.values()]
      .filter(entry => entry.key.startsWith(prefix))
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return Promise.resolve(matching.map(withoutRevision));
  }

  put(request: PutRequest): Promise<PutResult> {
    if (Buffer.byteLength(request.value) > MAX_VALUE_BYTES) {
      return Promise.reject(
        new RangeError(
          `The value of ${request.key} exceeds ${MAX_VALUE_BYTES} bytes; split it across several keys.`,
        ),
      );
    }
    const version = this.entries.get(request.key)?.version ?? 0;
    if (version !== request.expectedVersion) {
      return Promise.resolve({ outcome: PutOutcome.Conflict, version });
    }
    this.revision += 1;
    this.entries.set(request.key, {
      key: request.key,
      value: request.value,
      version: version + 1,
      revision: this.revision,
    });
    for (const listener of [...this.listeners]) listener();
    return Promise.resolve({
      outcome: PutOutcome.Written,
      version: version + 1,
    });
  }

  async watch(request: WatchRequest): Promise<WatchResult> {
    const changed = this.changedAfter(request);
    if (changed.length > 0)
      return { revision: this.revision, entries: changed };
    await this.waitForChange(request);
    return { revision: this.revision, entries: this.changedAfter(request) };
  }

  acquireLease(request: LeaseRequest): Promise<Lease | undefined> {
    const current = this.leases.get(request.name);
    const nowMs = this.clock.nowMs();
    const isAvailable = current === undefined || current.expiresAtMs <= nowMs;
    if (!isAvailable && current.holder !== request.holder) {
      return Promise.resolve(undefined);
    }
    const previousNumber = current?.fencingNumber ?? 0;
    const lease: Lease = {
      name: request.name,
      holder: request.holder,
      fencingNumber: isAvailable ? previousNumber + 1 : previousNumber,
      expiresAtMs: request.expiresAtMs,
    };
    this.leases.set(request.name, lease);
    return Promise.resolve(lease);
  }

  releaseLease(lease: Lease): Promise<void> {
    const current = this.leases.get(lease.name);
    if (current?.fencingNumber === lease.fencingNumber) {
      this.leases.set(lease.name, {
        ...current,
        expiresAtMs: this.clock.nowMs(),
      });
    }
    return Promise.resolve();
  }

  /** Completes every pending watch. */
  close(): void {
    this.closeController.abort();
  }

  private read(key: string): KeyValueEntry | undefined {
    const entry = this.entries.get(key);
    return entry === undefined ? undefined : withoutRevision(entry);
  }

  private changedAfter(request: WatchRequest): readonly KeyValueEntry[] {
    return [...this.entries.values()]
      .filter(entry => entry.key.startsWith(request.prefix))
      .filter(entry => entry.revision > request.afterRevision)
      .map(withoutRevision);
  }

  private async waitForChange(request: WatchRequest): Promise<void> {
    const changeController = new AbortController();
    const onChange = () => {
      if (this.changedAfter(request).length > 0) changeController.abort();
    };
    this.listeners.add(onChange);
    try {
      const signals = [changeController.signal, this.closeController.signal];
      await this.clock.waitUntil(
        request.deadlineAtMs,
        AbortSignal.any(signals),
      );
    } catch {
      // A change or a call of close() aborted the wait.
    } finally {
      this.listeners.delete(onChange);
    }
  }
}

function withoutRevision(entry: StoredEntry): KeyValueEntry {
  return { key: entry.key, value: entry.value, version: entry.version };
}
