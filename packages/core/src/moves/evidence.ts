import { z } from 'zod';

import { rollbackDecisionSchema, Signal, SIGNALS } from './move.js';
import type { MutableSampleBlock, SampleBlock } from './sample-block.js';
import { createSampleBlock, EMPTY_BLOCK } from './sample-block.js';

const blockSchema = z.object({
  newCount: z.int().nonnegative(),
  newEvents: z.int().nonnegative(),
  oldCount: z.int().nonnegative(),
  oldEvents: z.int().nonnegative(),
});

/** Counts of the requests of one kind that ended in one time block, per signal. */
export const kindEvidenceSchema = z.object({
  kind: z.string(),
  [Signal.Failure]: blockSchema,
  [Signal.SlowFirstToken]: blockSchema,
  [Signal.SlowTokens]: blockSchema,
});

export type KindEvidence = Readonly<z.output<typeof kindEvidenceSchema>>;

/** A daemon's request counts for a move since its previous report. */
export const evidenceReportSchema = z.object({
  moveId: z.string(),
  group: z.string(),
  daemonId: z.string(),
  /** Increases by one per report of the daemon, so that a duplicate is counted once. */
  sequence: z.int().nonnegative(),
  reportedAtMs: z.number(),
  /** Rollback decision, if the daemon knows one. */
  brake: rollbackDecisionSchema.optional(),
  kinds: z.array(kindEvidenceSchema),
});

export type EvidenceReport = Readonly<z.output<typeof evidenceReportSchema>>;

/** Signals that compare a latency. */
export type LatencySignal = Signal.SlowFirstToken | Signal.SlowTokens;

/** Kind of a request, and which of the two versions served it. */
export interface RequestVersion {
  readonly kind: string;
  readonly isNewVersion: boolean;
}

/** Result of one request, as observed by the daemon that served it. */
export interface RequestResult extends RequestVersion {
  readonly failed: boolean;
  /** Time to first token in milliseconds, if there was one. */
  readonly firstTokenMs?: number;
  /** Mean time between tokens in milliseconds, if there were several. */
  readonly tokenGapMs?: number;
}

/** Fraction of the old version's responses that count as slow. */
const SLOW_FRACTION = 0.1;
/** Step of the quantile estimate per sample, on a logarithmic scale. */
const QUANTILE_STEP = 0.02;

/** Online quantile estimate by stochastic approximation (Robbins and Monro). */
class QuantileEstimate {
  private value: number | undefined;

  add(sample: number): void {
    this.value ??= sample * 2;
    const isAbove = sample > this.value;
    const direction = isAbove ? 1 - SLOW_FRACTION : -SLOW_FRACTION;
    this.value *= Math.exp(QUANTILE_STEP * direction);
  }

  isAbove(sample: number | undefined): boolean {
    return (
      sample !== undefined && this.value !== undefined && sample > this.value
    );
  }
}

interface KindCounter {
  readonly blocks: Record<Signal, MutableSampleBlock>;
  readonly quantiles: Readonly<Record<LatencySignal, QuantileEstimate>>;
}

/** Counter of one daemon's request results between its reports. */
export class EvidenceCounter {
  private readonly byKind = new Map<string, KindCounter>();

  record(result: RequestResult): void {
    const { firstTokenMs, tokenGapMs } = result;
    this.recordEnd(result, result.failed);
    if (firstTokenMs !== undefined) {
      this.recordLatency(Signal.SlowFirstToken, result, firstTokenMs);
    }
    if (tokenGapMs !== undefined) {
      this.recordLatency(Signal.SlowTokens, result, tokenGapMs);
    }
  }

  recordEnd(request: RequestVersion, failed: boolean): void {
    const { blocks } = this.getOrCreateCounter(request.kind);
    countRequest(blocks[Signal.Failure], request, failed);
  }

  /** Records a latency in milliseconds, and counts it as slow if most responses of the old version were faster. */
  recordLatency(
    signal: LatencySignal,
    request: RequestVersion,
    latencyMs: number,
  ): void {
    const { blocks, quantiles } = this.getOrCreateCounter(request.kind);
    const isSlow = this.isSlow(signal, request, latencyMs);
    countRequest(blocks[signal], request, isSlow);
    if (!request.isNewVersion) quantiles[signal].add(latencyMs);
  }

  /** Returns whether most responses of the old version were faster. */
  isSlow(
    signal: LatencySignal,
    { kind }: RequestVersion,
    latencyMs: number,
  ): boolean {
    return this.getOrCreateCounter(kind).quantiles[signal].isAbove(latencyMs);
  }

  /** Returns and resets the counts since the last call, for kinds that had requests. */
  drain(): readonly KindEvidence[] {
    const evidence: KindEvidence[] = [];
    for (const [kind, { blocks }] of this.byKind) {
      if (SIGNALS.every(signal => isEmpty(blocks[signal]))) continue;
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

  private getOrCreateCounter(kind: string): KindCounter {
    let counter = this.byKind.get(kind);
    if (counter === undefined) {
      counter = {
        blocks: {
          [Signal.Failure]: createSampleBlock(),
          [Signal.SlowFirstToken]: createSampleBlock(),
          [Signal.SlowTokens]: createSampleBlock(),
        },
        quantiles: {
          [Signal.SlowFirstToken]: new QuantileEstimate(),
          [Signal.SlowTokens]: new QuantileEstimate(),
        },
      };
      this.byKind.set(kind, counter);
    }
    return counter;
  }
}

function isEmpty({ newCount, oldCount }: SampleBlock): boolean {
  return newCount + oldCount === 0;
}

function countRequest(
  block: MutableSampleBlock,
  result: RequestVersion,
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
