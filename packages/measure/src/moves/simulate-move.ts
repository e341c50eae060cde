import type { MoveSpec, RequestResult } from '@skylarkreach/core/moves';
import { earliestEndAtMs, MoveState } from '@skylarkreach/core/moves';
import type { Random } from '@skylarkreach/core/ports';
import { SeededRandom } from '@skylarkreach/core/ports';

import type { MoveCase } from './fault-model.js';
import {
  CAUTIOUS_KINDS,
  FaultModel,
  KIND_WEIGHTS,
  KINDS,
} from './fault-model.js';
import type { WorldFaults } from './simulated-cluster.js';
import { MoveWorld } from './simulated-cluster.js';

const STEP_MS = 1_000;
const DAEMONS = 9;
const REQUESTS_PER_SECOND = 40;
const MOVE_TIME_MS = 300_000;
/** Time after the deadline in which endings must be reported. */
const REPORT_TIME_MS = 90_000;
const MAX_RESULT_LAG_STEPS = 3;
const OLD_ENDPOINTS = 10;
const BRAKE_GRACE_MS = 5_000;
/** Requests on the new version that end the first stage. */
const FIRST_STAGE_REQUESTS = 60;
const TOKEN_SPREAD = 0.5;

/** What became of one simulated move. */
export interface MoveOutcome {
  readonly moveCase: MoveCase;
  readonly state: MoveState;
  readonly requests: number;
  /** Requests that the new version served while it misbehaved. */
  readonly badRequests: number;
  /** Of those, the ones that were sent over 5 s after the brake. */
  readonly lateBadRequests: number;
  /** Largest share of any kind in the first stage, from 0 to 1. */
  readonly firstStageShare: number;
  readonly unreported: boolean;
  readonly conflicting: boolean;
  readonly endedAfterDeadline: boolean;
}

/** Decides the share of the new version; the system under test or a baseline. */
export interface ShareSource {
  share(daemonIndex: number, kind: string, nowMs: number): number;
  record(daemonIndex: number, result: RequestResult): void;
  step(nowMs: number): void;
  serves(daemonIndex: number, nowMs: number): boolean;
  /** Time at which the move was taken back, if it was. */
  brakeAtMs(): number | undefined;
  /** State once the move is over for every daemon. */
  settledState(): MoveState | undefined;
  finalReport(): { unreported: boolean; conflicting: boolean; late: boolean };
}

export type ShareSourceFactory = (
  spec: MoveSpec,
  random: Random,
  faults: WorldFaults,
) => ShareSource;

/** The controllers of all daemons over their simulated world. */
export function controllerSource(
  spec: MoveSpec,
  random: Random,
  faults: WorldFaults,
): ShareSource {
  const world = new MoveWorld(spec, DAEMONS, random, faults);
  const daemonAt = (index: number) => {
    const daemon = world.daemons[index];
    if (daemon === undefined) throw new RangeError(`No daemon ${index}.`);
    return daemon;
  };
  return {
    share: (index, kind, nowMs) =>
      daemonAt(index).controller.share(kind, nowMs),
    record: (index, result) => {
      world.recordResult(daemonAt(index), result);
    },
    step: nowMs => {
      world.step(nowMs);
    },
    serves: (index, nowMs) => world.serves(daemonAt(index), nowMs),
    brakeAtMs: () => world.firstBrake?.pulledAtMs,
    settledState: () => {
      const isSettled = world.endings.length >= DAEMONS;
      return isSettled ? world.record.state : undefined;
    },
    finalReport: () => {
      const states = new Set(world.endings.map(each => each.ending.state));
      return {
        unreported: world.endings.length === 0,
        conflicting: states.size > 1,
        late: (world.record.ending?.endedAtMs ?? Infinity) > spec.deadlineAtMs,
      };
    },
  };
}

/** Runs one move from its start until it has ended everywhere. */
export function simulateMove(
  moveCase: MoveCase,
  seed: number,
  createSource: ShareSourceFactory,
): MoveOutcome {
  const random = new SeededRandom(seed);
  const startedAtMs = 1_000_000;
  const spec = newSpec(seed, startedAtMs);
  const fault = new FaultModel(
    moveCase,
    random,
    startedAtMs,
    spec.deadlineAtMs,
  );
  const faults = randomFaults(random, startedAtMs);
  const source = createSource(spec, random, faults);
  return new MoveRun(spec, fault, source, random).run();
}

class MoveRun {
  private readonly pending: { index: number; result: RequestResult }[][] = [];
  private requests = 0;
  private badRequests = 0;
  private lateBadRequests = 0;
  private newRequests = 0;
  private firstStageShare = 0;
  private newRequestsOfStep = 0;

  constructor(
    private readonly spec: MoveSpec,
    private readonly fault: FaultModel,
    private readonly source: ShareSource,
    private readonly random: Random,
  ) {}

  run(): MoveOutcome {
    const endMs = this.spec.deadlineAtMs + REPORT_TIME_MS;
    let nowMs = this.spec.startedAtMs;
    while (nowMs < endMs && this.source.settledState() === undefined) {
      nowMs += STEP_MS;
      this.source.step(nowMs);
      this.settleResults();
      this.serveSecond(nowMs);
    }
    const report = this.source.finalReport();
    return {
      moveCase: this.fault.moveCase,
      state: this.source.settledState() ?? MoveState.Running,
      requests: Math.max(this.requests, plannedRequests()),
      badRequests: this.badRequests,
      lateBadRequests: this.lateBadRequests,
      firstStageShare: this.firstStageShare,
      unreported: report.unreported,
      conflicting: report.conflicting,
      endedAfterDeadline: report.late,
    };
  }

  private settleResults(): void {
    for (const { index, result } of this.pending.shift() ?? []) {
      this.source.record(index, result);
    }
  }

  private serveSecond(nowMs: number): void {
    const meanShare = this.newRequestsOfStep / REQUESTS_PER_SECOND;
    const newLoad = relativeLoad(meanShare);
    this.fault.observeShare(meanShare, earliestEndAtMs(this.spec), nowMs);
    this.newRequestsOfStep = 0;
    for (let request = 0; request < REQUESTS_PER_SECOND; request += 1) {
      const index = this.random.nextInteger(DAEMONS);
      if (!this.source.serves(index, nowMs)) continue;
      this.serve(index, newLoad, nowMs);
    }
  }

  private serve(index: number, newLoad: number, nowMs: number): void {
    const kind = randomKind(this.random);
    const share = this.source.share(index, kind, nowMs);
    const isNew = this.random.nextFloat() < share;
    this.requests += 1;
    if (this.newRequests < FIRST_STAGE_REQUESTS) {
      this.firstStageShare = Math.max(this.firstStageShare, share);
    }
    if (isNew) {
      this.newRequests += 1;
      this.newRequestsOfStep += 1;
    }
    if (isNew && this.fault.isFaulty(kind, newLoad, nowMs))
      this.countBad(nowMs);
    const behaviour = this.fault.behaviour(kind, isNew, newLoad, nowMs);
    const failed = this.random.nextFloat() < behaviour.failureRate;
    const result: RequestResult = {
      kind,
      isNewVersion: isNew,
      failed,
      firstTokenMs: failed ? undefined : this.spread(behaviour.firstTokenMs),
      tokenGapMs: failed ? undefined : this.spread(behaviour.tokenGapMs),
    };
    const lag = this.random.nextInteger(MAX_RESULT_LAG_STEPS);
    while (this.pending.length <= lag) this.pending.push([]);
    this.pending[lag]?.push({ index, result });
  }

  private countBad(nowMs: number): void {
    this.badRequests += 1;
    const brakeAtMs = this.source.brakeAtMs();
    if (brakeAtMs !== undefined && nowMs > brakeAtMs + BRAKE_GRACE_MS) {
      this.lateBadRequests += 1;
    }
  }

  /** Log-normal spread around a typical time. */
  private spread(typicalMs: number): number {
    const index = this.random.nextInteger(SPREAD_FACTORS.length);
    return typicalMs * (SPREAD_FACTORS[index] ?? 1);
  }
}

/** Factors of a log-normal distribution, drawn once (Box and Muller). */
const SPREAD_FACTORS = createSpreadFactors(new SeededRandom(5), 4_096);

function createSpreadFactors(random: Random, count: number): Float64Array {
  return Float64Array.from({ length: count }, () => {
    const uniform = Math.max(random.nextFloat(), Number.EPSILON);
    const normal =
      Math.sqrt(-2 * Math.log(uniform)) *
      Math.cos(2 * Math.PI * random.nextFloat());
    return Math.exp(TOKEN_SPREAD * normal);
  });
}

function plannedRequests(): number {
  return (REQUESTS_PER_SECOND * MOVE_TIME_MS) / 1_000;
}

/** Load of a new endpoint in use against an old one, at a share. */
function relativeLoad(share: number): number {
  if (share <= 0 || share >= 1) return share;
  const used = Math.max(1, Math.ceil((OLD_ENDPOINTS * share) / (1 - share)));
  return (share / used) * (OLD_ENDPOINTS / (1 - share));
}

function newSpec(seed: number, startedAtMs: number): MoveSpec {
  return {
    moveId: `move-${seed}`,
    group: 'ruling-model',
    fromVersion: 'v1',
    toVersion: 'v2',
    kinds: [...KINDS],
    cautiousKinds: [...CAUTIOUS_KINDS],
    startedAtMs,
    deadlineAtMs: startedAtMs + MOVE_TIME_MS,
    reason: 'operations, newer weights',
  };
}

function randomKind(random: Random): string {
  let rest = random.nextFloat();
  for (const kind of KINDS) {
    rest -= KIND_WEIGHTS[kind] ?? 0;
    if (rest < 0) return kind;
  }
  return KINDS[0] ?? '';
}

function randomFaults(random: Random, startedAtMs: number): WorldFaults {
  const outage = (probability: number, minMs: number, spreadMs: number) => {
    const isHit = random.nextFloat() < probability;
    const fromMs = startedAtMs + random.nextFloat() * MOVE_TIME_MS;
    const untilMs = fromMs + minMs + random.nextFloat() * spreadMs;
    return isHit ? { fromMs, untilMs } : undefined;
  };
  return {
    keyValueOutage: outage(0.3, 10_000, 40_000),
    holderPause: outage(0.2, 5_000, 25_000),
    daemonRestart: outage(0.3, 3_000, 20_000),
  };
}
