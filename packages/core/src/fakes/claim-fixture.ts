import type { ClaimIntent, ClaimWriterOptions } from '../claims/index.js';
import { ClaimWriter, JournalClaims } from '../claims/index.js';
import type {
  Address,
  KeyValueStore,
  ServiceResponse,
} from '../ports/index.js';
import {
  ManualClock,
  MAX_VALUE_BYTES,
  noopLog,
  SeededRandom,
} from '../ports/index.js';
import type { FaultPlan } from './faulty-key-value.js';
import { Fault, FaultyKeyValue } from './faulty-key-value.js';
import { MemoryKeyValue } from './memory-key-value.js';
import { MemoryPeers } from './memory-peers.js';

const START_MS = 1_000;
const RETENTION_MS = 60_000;

/** Default deadline of the test intents, in milliseconds since the Unix epoch. */
export const CLAIM_DEADLINE_MS = 20_000;

/** Response of the service to the calls under test. */
export const CLAIM_RESPONSE: ServiceResponse = {
  status: 200,
  contentType: 'application/json',
  body: '{"receipt":1}',
};

/** Returns the intent of a call with an idempotency key, with defaults for all other fields. */
export function createIntent(
  idempotencyKey: string,
  changes: Partial<ClaimIntent> = {},
): ClaimIntent {
  return {
    workspace: 'northside',
    idempotencyKey,
    bodyHash: 'hash-1',
    requestId: 'request-1',
    deadlineAtMs: CLAIM_DEADLINE_MS,
    ...changes,
  };
}

/** Test fixture for claims of several daemons that share one in-memory key-value service. */
export class ClaimFixture {
  readonly clock = new ManualClock(START_MS);
  readonly store = new MemoryKeyValue(this.clock);
  readonly peers = new MemoryPeers(this.clock);

  constructor(private readonly options: Partial<ClaimWriterOptions> = {}) {}

  /** Adds a daemon that writes its claims itself; `plan` injects faults into its key-value calls. */
  addDaemon(
    daemonId: string,
    plan: FaultPlan = () => Fault.None,
  ): JournalClaims {
    return this.createDaemon(daemonId, this.faulty(plan));
  }

  /** Adds a daemon that forwards each claim to the owner of the claim among `liveDaemons`. */
  addForwardingDaemon(
    address: Address,
    liveDaemons: readonly Address[],
    plan: FaultPlan = () => Fault.None,
  ): JournalClaims {
    return this.createDaemon(address, this.faulty(plan), liveDaemons);
  }

  /** Creates a daemon that uses `keyValue` for its key-value calls. */
  createDaemon(
    daemonId: string,
    keyValue: KeyValueStore,
    liveDaemons?: readonly Address[],
  ): JournalClaims {
    const options = {
      shards: 1,
      writesPerSecond: 1_000,
      maxJournalBytes: MAX_VALUE_BYTES,
      maxResponseBytes: 100,
      ...this.options,
    };
    const peers = liveDaemons && {
      peer: this.peers.peer(daemonId),
      registry: this.peers.registry(daemonId),
      selfAddress: () => daemonId,
      liveDaemons: () => liveDaemons,
    };
    const random = new SeededRandom(1);
    const { clock } = this;
    const writer = new ClaimWriter(keyValue, clock, random, options, peers);
    const { maxResponseBytes } = options;
    return new JournalClaims(writer, clock, noopLog, {
      daemonId,
      retentionMs: RETENTION_MS,
      maxResponseBytes,
    });
  }

  private faulty(plan: FaultPlan): KeyValueStore {
    return new FaultyKeyValue(this.store, this.clock, plan);
  }
}
