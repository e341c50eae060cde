import { setTimeout as delay } from 'node:timers/promises';

import { busiestWindow } from '@skylarkreach/core/fakes';

import type { EndpointFaults, RecordAct } from './endpoint-faults.js';
import { ActKind } from './loss-checks.js';
import { COLD_START_S, MAX_COLD_PER_S } from './soak-variant.js';

const MS_PER_SECOND = 1_000;
/** Bound on the time until all daemons know that an endpoint has become cold again. */
const CONTACT_MS = 3_000;
const COLD_START_MS = COLD_START_S * MS_PER_SECOND;

export enum ColdFault {
  /** An endpoint becomes cold again, for as long as after a start. */
  BecomeCold = 'becomeCold',
}

/** Time in which the bound of a cold endpoint holds, by `performance.now()`. */
export interface ColdSpan {
  readonly endpoint: {
    readonly id: string;
    readonly runs: readonly { readonly readAtMs: number }[];
  };
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Endpoints of a soak that become cold while they serve. */
export class ColdFaults {
  readonly spans: ColdSpan[] = [];

  constructor(
    private readonly record: RecordAct,
    private readonly endpoints: EndpointFaults,
  ) {}

  async becomeCold(): Promise<void> {
    const endpoint = this.endpoints.pickUsable();
    if (endpoint.coldForMs !== undefined) return;
    const act = this.record(ActKind.State, endpoint.id, 'cold');
    endpoint.coldForMs = COLD_START_MS;
    this.endpoints.updateEntry(endpoint, { ColdRemainingMs: COLD_START_MS });
    await delay(COLD_START_MS);
    act.untilMs = performance.now();
    const { fromMs, untilMs } = act;
    this.spans.push({ endpoint, fromMs: fromMs + CONTACT_MS, untilMs });
    endpoint.coldForMs = undefined;
    this.endpoints.updateEntry(endpoint, { ColdRemainingMs: 0 });
  }
}

/** Returns the time for which an endpoint that has just been added is cold. */
export function startSpan(endpoint: ColdSpan['endpoint']): ColdSpan {
  const fromMs = performance.now();
  const untilMs = fromMs + COLD_START_MS;
  return { endpoint, fromMs, untilMs };
}

/** Returns a line for each cold endpoint that got more requests in a second than the bound allows. */
export function findColdExcesses(
  spans: readonly ColdSpan[],
): readonly string[] {
  return spans.flatMap(({ endpoint, fromMs, untilMs }) => {
    const timesMs = endpoint.runs
      .map(({ readAtMs }) => readAtMs)
      .filter(atMs => atMs >= fromMs && atMs < untilMs);
    const most = busiestWindow(timesMs, MS_PER_SECOND);
    return most <= MAX_COLD_PER_S
      ? []
      : [
          `${endpoint.id} got ${most} requests in a second while it was cold, ${MAX_COLD_PER_S} are allowed`,
        ];
  });
}
