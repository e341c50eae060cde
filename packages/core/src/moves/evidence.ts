import { z } from 'zod';

import { brakeSchema, Signal, SIGNALS } from './move.js';
import type { MutableBlock } from './sample-block.js';
import { EMPTY_BLOCK, emptyBlock } from './sample-block.js';

const blockSchema = z.object({
  newCount: z.int().nonnegative(),
  newEvents: z.int().nonnegative(),
  oldCount: z.int().nonnegative(),
  oldEvents: z.int().nonnegative(),
});

/** Requests of one kind that ended in one span of time, counted for each signal. */
export const kindEvidenceSchema = z.object({
  kind: z.string(),
  [Signal.Failure]: blockSchema,
  [Signal.SlowFirstToken]: blockSchema,
  [Signal.SlowTokens]: blockSchema,
});

export type KindEvidence = Readonly<z.output<typeof kindEvidenceSchema>>;

/** What one daemon saw of a move since its last report. */
export const evidenceReportSchema = z.object({
  moveId: z.string(),
  group: z.string(),
  daemonId: z.string(),
  /** Rises by one with each report of the daemon, so that a repeat counts once. */
  sequence: z.int().nonnegative(),
  reportedAtMs: z.number(),
  /** The brake, where the daemon knows of one. */
  brake: brakeSchema.optional(),
  kinds: z.array(kindEvidenceSchema),
});

export type EvidenceReport = Readonly<z.output<typeof evidenceReportSchema>>;

/** One request that ended, as the daemon that served it saw it. */
export interface RequestResult {
  readonly kind: string;
  readonly isNewVersion: boolean;
  readonly failed: boolean;
  /** Time to the first token in milliseconds, where one came. */
  readonly firstTokenMs?: number;
  /** Mean time between tokens in milliseconds, where there were several. */
  readonly tokenGapMs?: number;
}

/** Part of the old version's answers that count as slow. */
const SLOW_FRACTION = 0.1;
const QUANTILE_STEP = 0.02;

/** Running estimate of a quantile by stochastic approximation (Robbins and Monro). */
class QuantileEstimate {
  private value: number | undefined;

  add(sample: number): void {
    this.value ??= sample * 2;
    const isAbove = sample > this.value;
    const change = isAbove ? 1 - SLOW_FRACTION : -SLOW_FRACTION;
    this.value *= Math.exp(QUANTILE_STEP * change);
  }

  isAbove(sample: number | undefined): boolean {
    return (
      sample !== undefined && this.value !== undefined && sample > this.value
    );
  }
}

interface KindCounter {
  readonly blocks: Record<Signal, MutableBlock>;
  readonly firstToken: QuantileEstimate;
  readonly tokenGap: QuantileEstimate;
}

/** Counts the requests of one daemon between its reports. */
export class EvidenceCounter {
  private readonly byKind = new Map<string, KindCounter>();

  record(result: RequestResult): void {
    const counter = this.counterOf(result.kind);
    const { blocks, firstToken, tokenGap } = counter;
    const { firstTokenMs, tokenGapMs } = result;
    count(blocks[Signal.Failure], result, result.failed);
    if (firstTokenMs !== undefined) {
      const isSlow = firstToken.isAbove(firstTokenMs);
      count(blocks[Signal.SlowFirstToken], result, isSlow);
    }
    if (tokenGapMs !== undefined) {
      const isSlow = tokenGap.isAbove(tokenGapMs);
      count(blocks[Signal.SlowTokens], result, isSlow);
    }
    if (result.isNewVersion) return;
    if (firstTokenMs !== undefined) firstToken.add(firstTokenMs);
    if (tokenGapMs !== undefined) tokenGap.add(tokenGapMs);
  }

  /** Counts since the last call, for kinds that had requests. */
  take(): readonly KindEvidence[] {
    const evidence: KindEvidence[] = [];
    for (const [kind, { blocks }] of this.byKind) {
      const { newCount, oldCount } = blocks[Signal.Failure];
      if (newCount + oldCount === 0) continue;
      evidence.push({
        kind,
        [Signal.Failure]: { ...blocks.failure },
        [Signal.SlowFirstToken]: { ...blocks.slowFirstToken },
        [Signal.SlowTokens]: { ...blocks.slowTokens },
      });
      for (const signal of SIGNALS) Object.assign(blocks[signal], EMPTY_BLOCK);
    }
    return evidence;
  }

  private counterOf(kind: string): KindCounter {
    let counter = this.byKind.get(kind);
    if (counter === undefined) {
      counter = {
        blocks: {
          [Signal.Failure]: emptyBlock(),
          [Signal.SlowFirstToken]: emptyBlock(),
          [Signal.SlowTokens]: emptyBlock(),
        },
        firstToken: new QuantileEstimate(),
        tokenGap: new QuantileEstimate(),
      };
      this.byKind.set(kind, counter);
    }
    return counter;
  }
}

function count(
  block: MutableBlock,
  result: RequestResult,
  isEvent: boolean,
): void {
  const events = isEvent ? 1 : 0;
  if (result.isNewVersion) {
    block.newCount += 1;
    block.newEvents += events;
  } else {
    block.oldCount += 1;
    block.oldEvents += events;
  }
}
