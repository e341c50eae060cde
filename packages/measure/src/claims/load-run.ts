import type { Claims } from '@skylarkreach/core/claims';
import {
  Fault,
  FaultyKeyValue,
  MemoryKeyValue,
  MemoryPeers,
} from '@skylarkreach/core/fakes';
import type { KeyValue, ServiceResponse } from '@skylarkreach/core/ports';
import { ManualClock, SeededRandom } from '@skylarkreach/core/ports';

import type { ClaimsKind } from './claims-kind.js';
import { buildClaims } from './claims-kind.js';

const START_MS = 1_000;
const STORE_DELAY_MS = 3;
const LINK_DELAY_MS = 1;
const SERVICE_MS = 20;
const CALL_TIMEOUT_MS = 10_000;
const STEP_MS = 1;

export interface LoadOptions {
  readonly seed: number;
  readonly daemons: number;
  readonly shards: number;
  readonly writesPerSecond: number;
  readonly claimsPerSecond: number;
  readonly claims: number;
}

export interface LoadResult {
  readonly failed: number;
  readonly writesPerSecond: number;
  readonly writesPerThousandClaims: number;
  readonly readsPerThousandClaims: number;
  /** Latency beyond the service's own. */
  readonly addedP50Ms: number;
  readonly addedP95Ms: number;
  readonly addedP99Ms: number;
}

/** Steady load on daemons without faults, over a key-value service with latency. */
export class LoadRun {
  private readonly clock = new ManualClock(START_MS);
  private readonly store: FaultyKeyValue;
  private readonly random: SeededRandom;
  private readonly daemons: readonly Claims[];
  private readonly addedMs: number[] = [];
  private writes = 0;
  private reads = 0;
  private failed = 0;

  constructor(
    kind: ClaimsKind,
    private readonly options: LoadOptions,
  ) {
    this.random = new SeededRandom(options.seed);
    this.store = new FaultyKeyValue(
      new MemoryKeyValue(this.clock),
      this.clock,
      operation => this.count(operation),
      STORE_DELAY_MS,
    );
    this.daemons = buildDaemons(kind, options, this.store, this.clock);
  }

  async play(): Promise<LoadResult> {
    const { claims, claimsPerSecond } = this.options;
    const spanMs = (claims * 1_000) / claimsPerSecond;
    for (let index = 0; index < claims; index += 1) {
      const atMs = START_MS + Math.floor(this.random.nextFloat() * spanMs);
      void this.call(index, atMs);
    }
    for (let atMs = START_MS; atMs < START_MS + spanMs; atMs += STEP_MS) {
      await this.clock.advanceTo(atMs);
    }
    const writesInSpan = this.writes;
    await this.clock.advanceTo(START_MS + spanMs + CALL_TIMEOUT_MS);
    return this.result((writesInSpan * 1_000) / spanMs);
  }

  private async call(index: number, atMs: number): Promise<void> {
    await this.clock.waitUntil(atMs);
    const claims = this.daemons[index % this.daemons.length];
    const intent = {
      workspace: 'northside',
      idempotencyKey: `key-${index}`,
      bodyHash: `hash-${index}`,
      requestId: `request-${index}`,
      deadlineAtMs: atMs + CALL_TIMEOUT_MS,
    };
    try {
      await claims?.run(intent, () => this.serve());
      this.addedMs.push(this.clock.nowMs() - atMs - SERVICE_MS);
    } catch {
      this.failed += 1;
    }
  }

  private async serve(): Promise<ServiceResponse> {
    await this.clock.waitUntil(this.clock.nowMs() + SERVICE_MS);
    return { status: 200, contentType: 'text/plain', body: 'posted' };
  }

  private count(operation: string): Fault {
    if (operation === 'put') this.writes += 1;
    else this.reads += 1;
    return Fault.Slow;
  }

  private result(writesPerSecond: number): LoadResult {
    const sorted = [...this.addedMs].sort((left, right) => left - right);
    const at = (share: number) =>
      sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ??
      Number.NaN;
    const thousands = this.options.claims / 1_000;
    return {
      failed: this.failed,
      writesPerSecond: Math.round(writesPerSecond),
      writesPerThousandClaims: Math.round(this.writes / thousands),
      readsPerThousandClaims: Math.round(this.reads / thousands),
      addedP50Ms: Math.round(at(0.5)),
      addedP95Ms: Math.round(at(0.95)),
      addedP99Ms: Math.round(at(0.99)),
    };
  }
}

function buildDaemons(
  kind: ClaimsKind,
  options: LoadOptions,
  keyValue: KeyValue,
  clock: ManualClock,
): readonly Claims[] {
  const peers = new MemoryPeers(clock, () => Fault.Slow, LINK_DELAY_MS);
  const addresses = Array.from(
    { length: options.daemons },
    (_, index) => `10.0.0.${index}:80`,
  );
  return addresses.map((address, index) =>
    buildClaims(kind, {
      ...options,
      daemonId: address,
      clock,
      keyValue,
      random: new SeededRandom(options.seed + index),
      peers: {
        peer: peers.peer(address),
        registry: peers.registry(address),
        selfAddress: () => address,
        liveDaemons: () => addresses,
      },
    }),
  );
}
