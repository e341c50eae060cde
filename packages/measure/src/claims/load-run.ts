import type { Claims } from '@skylarkreach/core/claims';
import {
  Fault,
  FaultyKeyValue,
  MemoryKeyValue,
  MemoryPeers,
} from '@skylarkreach/core/fakes';
import type { KeyValueStore, ServiceResponse } from '@skylarkreach/core/ports';
import { ManualClock, SeededRandom } from '@skylarkreach/core/ports';

import type { ClaimsVariant } from './claims-variant.js';
import { buildClaims } from './claims-variant.js';

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
  /** Latency of a call minus the time that the service itself takes. */
  readonly addedP50Ms: number;
  readonly addedP95Ms: number;
  readonly addedP99Ms: number;
}

/** Steady load on daemons without faults, with latency on links and the key-value service. */
export class LoadRun {
  private readonly clock = new ManualClock(START_MS);
  private readonly store: FaultyKeyValue;
  private readonly random: SeededRandom;
  private readonly daemons: readonly Claims[];
  private readonly addedLatenciesMs: number[] = [];
  private writes = 0;
  private reads = 0;
  private failed = 0;

  constructor(
    variant: ClaimsVariant,
    private readonly options: LoadOptions,
  ) {
    this.random = new SeededRandom(options.seed);
    this.store = new FaultyKeyValue(
      new MemoryKeyValue(this.clock),
      this.clock,
      operation => this.countStoreCall(operation),
      STORE_DELAY_MS,
    );
    this.daemons = buildDaemons(variant, options, this.store, this.clock);
  }

  async run(): Promise<LoadResult> {
    const { claims, claimsPerSecond } = this.options;
    const durationMs = (claims * 1_000) / claimsPerSecond;
    for (let index = 0; index < claims; index += 1) {
      const atMs = START_MS + Math.floor(this.random.nextFloat() * durationMs);
      void this.sendCall(index, atMs);
    }
    for (let atMs = START_MS; atMs < START_MS + durationMs; atMs += STEP_MS) {
      await this.clock.advanceTo(atMs);
    }
    const writesUnderLoad = this.writes;
    await this.clock.advanceTo(START_MS + durationMs + CALL_TIMEOUT_MS);
    return this.buildResult((writesUnderLoad * 1_000) / durationMs);
  }

  private async sendCall(index: number, atMs: number): Promise<void> {
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
      await claims?.run(intent, () => this.handleCall());
      this.addedLatenciesMs.push(this.clock.nowMs() - atMs - SERVICE_MS);
    } catch {
      this.failed += 1;
    }
  }

  private async handleCall(): Promise<ServiceResponse> {
    await this.clock.waitUntil(this.clock.nowMs() + SERVICE_MS);
    return { status: 200, contentType: 'text/plain', body: 'posted' };
  }

  private countStoreCall(operation: string): Fault {
    if (operation === 'put') this.writes += 1;
    else this.reads += 1;
    return Fault.Slow;
  }

  private buildResult(writesPerSecond: number): LoadResult {
    const sorted = [...this.addedLatenciesMs].sort(
      (left, right) => left - right,
    );
    const percentile = (share: number) =>
      sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ??
      Number.NaN;
    const thousands = this.options.claims / 1_000;
    return {
      failed: this.failed,
      writesPerSecond: Math.round(writesPerSecond),
      writesPerThousandClaims: Math.round(this.writes / thousands),
      readsPerThousandClaims: Math.round(this.reads / thousands),
      addedP50Ms: Math.round(percentile(0.5)),
      addedP95Ms: Math.round(percentile(0.95)),
      addedP99Ms: Math.round(percentile(0.99)),
    };
  }
}

function buildDaemons(
  variant: ClaimsVariant,
  options: LoadOptions,
  keyValue: KeyValueStore,
  clock: ManualClock,
): readonly Claims[] {
  const peers = new MemoryPeers(clock, () => Fault.Slow, LINK_DELAY_MS);
  const addresses = Array.from(
    { length: options.daemons },
    (_, index) => `10.0.0.${index}:80`,
  );
  return addresses.map((address, index) =>
    buildClaims(variant, {
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
