import { setTimeout as delay } from 'node:timers/promises';

import type { Address } from '@skylarkreach/core/ports';
import { SAMPLE_HOST } from '@skylarkreach/platform/stand-ins';

import type { CallerScript, SoakPlan } from '../gateway/index.js';
import { CallerCrowd } from '../gateway/index.js';
import type { RecordAct } from './endpoint-faults.js';
import { ActKind } from './loss-checks.js';

/** Connections of one crowd, which together send more than a daemon holds of requests. */
const CALLERS = 300;
const PIECE_BYTES = 15_000;
const PIECES = 4;
const PIECE = 'x'.repeat(PIECE_BYTES);
const MIN_STAY_MS = 500;
const STAY_SPREAD_MS = 1_500;

export enum CrowdFault {
  /** Bodies that are never complete. */
  UnfinishedBodies = 'unfinishedBodies',
  /** Heads that are never complete. */
  EndlessHeads = 'endlessHeads',
  /** Connections on which nothing is sent. */
  IdleConnections = 'idleConnections',
}

const UNFINISHED_BODY = [
  `POST /postings/crowd HTTP/1.1\r\nhost: ${SAMPLE_HOST}\r\ncontent-length: ${PIECE_BYTES * PIECES + 1}\r\n\r\n`,
  ...Array.from({ length: PIECES }, () => PIECE),
];
const ENDLESS_HEAD = ['GET /lookups/crowd HTTP/1.1\r\nx: ', PIECE];

/** What one caller of a crowd writes; none of it is a request that could run. */
const SCRIPTS: Readonly<Record<CrowdFault, CallerScript>> = {
  [CrowdFault.UnfinishedBodies]: () => UNFINISHED_BODY,
  [CrowdFault.EndlessHeads]: () => ENDLESS_HEAD,
  [CrowdFault.IdleConnections]: () => [],
};

/** Daemon that a crowd connects to. */
export interface CrowdTarget {
  readonly processId: string;
  readonly callersAddress: Address;
}

/** Crowds of callers that ignore the limits, beside the ordinary callers of a soak. */
export class CrowdFaults {
  private readonly crowds = new Set<CallerCrowd>();

  constructor(
    private readonly plan: SoakPlan,
    private readonly record: RecordAct,
    private readonly pickTarget: () => CrowdTarget,
  ) {}

  async apply(fault: CrowdFault): Promise<void> {
    const { callersAddress, processId } = this.pickTarget();
    const act = this.record(ActKind.Crowd, processId, fault);
    const crowd = new CallerCrowd(callersAddress);
    this.crowds.add(crowd);
    const sent = crowd.send(CALLERS, SCRIPTS[fault]);
    await delay(this.plan.nextMs(MIN_STAY_MS, STAY_SPREAD_MS));
    crowd.destroy();
    await sent;
    this.crowds.delete(crowd);
    act.untilMs = performance.now();
  }

  destroy(): void {
    for (const crowd of this.crowds) crowd.destroy();
  }
}
