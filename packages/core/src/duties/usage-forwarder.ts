import { z } from 'zod';

import type { DutyHolderPeer } from '../hints/index.js';
import type {
  Clock,
  Log,
  Metrics,
  PeerClient,
  PeerRegistry,
} from '../ports/index.js';
import {
  definePeerMethod,
  PlatformError,
  readableItems,
} from '../ports/index.js';
import { UsageCollector } from './usage-collector.js';
import type { UsageLedger } from './usage-ledger.js';
import { fromUsageRow, toUsageRow, usageRowSchema } from './usage-rows.js';

/** Time between two messages of one collector. */
const FORWARD_INTERVAL_MS = 500; // 32 messages a second to the holder with 16 data centres
const CALL_TIMEOUT_MS = 400;
/** Maximum number of rows that a message is read for. */
const MAX_ROWS = 4_096; // four times what a collector sends

/** Peer method by which collectors tell the holder of the duties the counts of their data centre. */
export const tellCollectedUsageMethod = definePeerMethod(
  'usage.tellCollected',
  z.object({ rows: readableItems(usageRowSchema, MAX_ROWS) }),
  z.object({}),
);

/** Peer that holds the duties, as this daemon knows it. */
export interface UsageHolder {
  readonly daemon: DutyHolderPeer;
  readonly fencingNumber: number;
  /** Whether it can be told counts of the sender. */
  readonly takesCounts: boolean;
  /** Whether it accepts counts of several daemons in one message. */
  readonly takesCollected: boolean;
}

export interface UsageForwarderDependencies {
  readonly clock: Clock;
  readonly peer: PeerClient;
  readonly registry: PeerRegistry;
  readonly ledger: UsageLedger;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly isEnabled: () => boolean;
  /** Whether this daemon holds the duties. */
  readonly holdsDuties: () => boolean;
  /** Returns the peer that holds the duties; undefined if none is known. */
  readonly holder: () => UsageHolder | undefined;
}

/** Passes the counts that peers have told this daemon on to the holder of the duties, soon after they change. */
export class UsageForwarder {
  private readonly collector: UsageCollector;
  private hasFailed = false;
  private receiver = '';
  private nextCallAtMs = -Infinity;
  private intervalMs = FORWARD_INTERVAL_MS;

  constructor(private readonly deps: UsageForwarderDependencies) {
    const { ledger, registry } = deps;
    this.collector = new UsageCollector(ledger);
    registry.handle(tellCollectedUsageMethod, ({ rows }) => {
      for (const { lifetime, ...usage } of rows.map(fromUsageRow))
        ledger.applyPeer({ lifetime, usage: [usage] });
      return Promise.resolve({});
    });
  }

  /** Records that a peer's lifetime has told its counts. */
  record(lifetime: string): void {
    this.collector.record(lifetime, this.deps.clock.nowMs());
  }

  /** Records that this daemon sends its own counts to the holder, at most once in `intervalMs`. */
  recordOwn(intervalMs: number): void {
    this.record(this.deps.ledger.lifetime);
    this.intervalMs = Math.max(FORWARD_INTERVAL_MS, intervalMs);
  }

  /** Records that this daemon tells a collector its own counts. */
  forgetOwn(): void {
    this.collector.forget(this.deps.ledger.lifetime);
    this.intervalMs = FORWARD_INTERVAL_MS;
  }

  /** Returns whether the counts that this daemon is told reach the holder of the duties, as far as it knows. */
  isPassingOn(): boolean {
    const { holder, holdsDuties, isEnabled } = this.deps;
    if (holdsDuties()) return true;
    const known = isEnabled() ? holder() : undefined;
    if (known?.takesCollected !== true) return false;
    return !this.hasFailed || receiverOf(known) !== this.receiver;
  }

  /** Sends the counts that have changed, if a message is due. */
  async step(): Promise<void> {
    const { clock, isEnabled, peer } = this.deps;
    const holder = isEnabled() ? this.deps.holder() : undefined;
    const nowMs = clock.nowMs();
    if (holder?.takesCollected !== true || nowMs < this.nextCallAtMs) return;
    this.receiver = receiverOf(holder);
    this.collector.setReceiver(this.receiver);
    const batch = this.collector.nextBatch(nowMs);
    if (batch.rows.length === 0) {
      this.collector.confirm(batch);
      return;
    }
    this.nextCallAtMs = nowMs + this.intervalMs;
    try {
      await peer.call(
        holder.daemon.peerAddress,
        tellCollectedUsageMethod,
        { rows: batch.rows.map(toUsageRow) },
        nowMs + CALL_TIMEOUT_MS,
      );
      this.collector.confirm(batch);
      this.recordOutcome(true);
    } catch (error) {
      // The hints carry the same counts, and the next message has those of this one.
      if (!(error instanceof PlatformError)) throw error;
      this.recordOutcome(false);
    }
  }

  private recordOutcome(isSent: boolean): void {
    this.hasFailed = !isSent;
    const outcome = isSent ? 'sent' : 'failed';
    this.deps.metrics.increment('usage.collections', 1, { outcome });
  }
}

/** A holder that starts again has another fencing number, and no counts. */
function receiverOf({ daemon, fencingNumber }: UsageHolder): string {
  return `${daemon.id}/${fencingNumber}`;
}
