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
import type { ClusterFaults } from './simulated-cluster.js';
import { SimulatedCluster } from './simulated-cluster.js';

const STEP_MS = 1_000;
const DAEMON_COUNT = 9;
const REQUESTS_PER_SECOND = 40;
const MOVE_DURATION_MS = 300_000;
/** Time after the deadline within which daemons must report the ending. */
const REPORT_GRACE_MS = 90_000;
const MAX_RESULT_LAG_STEPS = 3;
const OLD_ENDPOINT_COUNT = 10;
const ROLLBACK_GRACE_MS = 5_000;
/** Requests served by the new version after which the first stage ends. */
const FIRST_STAGE_REQUESTS = 60;
/** Standard deviation of the natural logarithm of simulated latencies. */
const LATENCY_SIGMA = 0.5;

/** Result of one simulated move. */
export interface MoveOutcome {
  readonly moveCase: MoveCase;
  readonly state: MoveState;
  readonly requests: number;
  /** Requests served by the new version while it was faulty. */
  readonly badRequests: number;
  /** Bad requests that were sent more than 5 s after the rollback decision. */
  readonly lateBadRequests: number;
  /** Largest traffic share of any kind during the first stage, from 0 to 1. */
  readonly firstStageShare: number;
  readonly unreported: boolean;
  readonly conflicting: boolean;
  readonly endedAfterDeadline: boolean;
}

/** Policy that decides the traffic share of the new version: the system under test or a baseline. */
export interface SharePolicy {
  share(daemonIndex: number, kind: string, nowMs: number): number;
  record(daemonIndex: number, result: RequestResult): void;
  step(nowMs: number): void;
  isServing(daemonIndex: number, nowMs: number): boolean;
  /** Returns the time of the rollback decision, or undefined if there is none. */
  rollbackAtMs(): number | undefined;
  /** Returns the final state once the move has ended on every daemon. */
  finalState(): MoveState | undefined;
  finalReport(): { unreported: boolean; conflicting: boolean; late: boolean };
}

export type SharePolicyFactory = (
  spec: MoveSpec,
  random: Random,
  faults: ClusterFaults,
) => SharePolicy;

/** Returns the policy under test: the move controllers of a simulated cluster. */
export function createControllerPolicy(
  spec: MoveSpec,
  random: Random,
  faults: ClusterFaults,
): SharePolicy {
  const cluster = new SimulatedCluster(spec, DAEMON_COUNT, random, faults);
  const daemonAt = (index: number) => {
    const daemon = cluster.daemons[index];
    if (daemon === undefined)
      throw new RangeError(`No daemon has index ${index}.`);
    return daemon;
  };
  return {
    share: (index, kind, nowMs) =>
      daemonAt(index).controller.share(kind, nowMs),
    record: (index, result) => {
      cluster.recordResult(daemonAt(index), result);
    },
    step: nowMs => {
      cluster.step(nowMs);
    },
    isServing: (index, nowMs) => cluster.isServing(daemonAt(index), nowMs),
    rollbackAtMs: () => cluster.firstRollback?.pulledAtMs,
    finalState: () => {
      const hasEndedEverywhere = cluster.endings.length >= DAEMON_COUNT;
      return hasEndedEverywhere ? cluster.record.state : undefined;
    },
    finalReport: () => {
      const states = new Set(
        cluster.endings.map(reported => reported.ending.state),
      );
      return {
        unreported: cluster.endings.length === 0,
        conflicting: states.size > 1,
        late:
          (cluster.record.ending?.endedAtMs ?? Infinity) > spec.deadlineAtMs,
      };
    },
  };
}

/** Simulates one move until it has ended on every daemon, or until 90 s after its deadline. */
export function simulateMove(
  moveCase: MoveCase,
  seed: number,
  createPolicy: SharePolicyFactory,
): MoveOutcome {
  const random = new SeededRandom(seed);
  const startedAtMs = 1_000_000;
  const spec = createSpec(seed, startedAtMs);
  const faultModel = new FaultModel(
    moveCase,
    random,
    startedAtMs,
    spec.deadlineAtMs,
  );
  const faults = drawFaults(random, startedAtMs);
  const policy = createPolicy(spec, random, faults);
  return new MoveSimulation(spec, faultModel, policy, random).run();
}

class MoveSimulation {
  private readonly pendingResults: {
    index: number;
    result: RequestResult;
  }[][] = [];
  private requests = 0;
  private badRequests = 0;
  private lateBadRequests = 0;
  private newVersionRequests = 0;
  private firstStageShare = 0;
  private newVersionRequestsInStep = 0;

  constructor(
    private readonly spec: MoveSpec,
    private readonly faultModel: FaultModel,
    private readonly policy: SharePolicy,
    private readonly random: Random,
  ) {}

  run(): MoveOutcome {
    const endMs = this.spec.deadlineAtMs + REPORT_GRACE_MS;
    let nowMs = this.spec.startedAtMs;
    while (nowMs < endMs && this.policy.finalState() === undefined) {
      nowMs += STEP_MS;
      this.policy.step(nowMs);
      this.deliverResults();
      this.simulateSecond(nowMs);
    }
    const report = this.policy.finalReport();
    return {
      moveCase: this.faultModel.moveCase,
      state: this.policy.finalState() ?? MoveState.Running,
      requests: Math.max(this.requests, plannedRequestCount()),
      badRequests: this.badRequests,
      lateBadRequests: this.lateBadRequests,
      firstStageShare: this.firstStageShare,
      unreported: report.unreported,
      conflicting: report.conflicting,
      endedAfterDeadline: report.late,
    };
  }

  private deliverResults(): void {
    for (const { index, result } of this.pendingResults.shift() ?? []) {
      this.policy.record(index, result);
    }
  }

  private simulateSecond(nowMs: number): void {
    const meanShare = this.newVersionRequestsInStep / REQUESTS_PER_SECOND;
    const newLoad = relativeLoad(meanShare);
    this.faultModel.observeShare(meanShare, earliestEndAtMs(this.spec), nowMs);
    this.newVersionRequestsInStep = 0;
    for (let request = 0; request < REQUESTS_PER_SECOND; request += 1) {
      const index = this.random.nextInteger(DAEMON_COUNT);
      if (!this.policy.isServing(index, nowMs)) continue;
      this.simulateRequest(index, newLoad, nowMs);
    }
  }

  private simulateRequest(index: number, newLoad: number, nowMs: number): void {
    const kind = drawKind(this.random);
    const share = this.policy.share(index, kind, nowMs);
    const isNew = this.random.nextFloat() < share;
    this.requests += 1;
    if (this.newVersionRequests < FIRST_STAGE_REQUESTS) {
      this.firstStageShare = Math.max(this.firstStageShare, share);
    }
    if (isNew) {
      this.newVersionRequests += 1;
      this.newVersionRequestsInStep += 1;
    }
    if (isNew && this.faultModel.isFaulty(kind, newLoad, nowMs))
      this.countBadRequest(nowMs);
    const behaviour = this.faultModel.behaviour(kind, isNew, newLoad, nowMs);
    const failed = this.random.nextFloat() < behaviour.failureRate;
    const result: RequestResult = {
      kind,
      isNewVersion: isNew,
      failed,
      firstTokenMs: failed
        ? undefined
        : this.drawLatencyMs(behaviour.firstTokenMs),
      tokenGapMs: failed ? undefined : this.drawLatencyMs(behaviour.tokenGapMs),
    };
    const lag = this.random.nextInteger(MAX_RESULT_LAG_STEPS);
    while (this.pendingResults.length <= lag) this.pendingResults.push([]);
    this.pendingResults[lag]?.push({ index, result });
  }

  private countBadRequest(nowMs: number): void {
    this.badRequests += 1;
    const rollbackAtMs = this.policy.rollbackAtMs();
    if (
      rollbackAtMs !== undefined &&
      nowMs > rollbackAtMs + ROLLBACK_GRACE_MS
    ) {
      this.lateBadRequests += 1;
    }
  }

  /** Draws a latency from a log-normal distribution with the given median. */
  private drawLatencyMs(medianMs: number): number {
    const index = this.random.nextInteger(LATENCY_FACTORS.length);
    return medianMs * (LATENCY_FACTORS[index] ?? 1);
  }
}

/** Factors of a log-normal distribution, drawn once at start-up by the Box-Muller transform. */
const LATENCY_FACTORS = createLatencyFactors(new SeededRandom(5), 4_096);

function createLatencyFactors(random: Random, count: number): Float64Array {
  return Float64Array.from({ length: count }, () => {
    const uniform = Math.max(random.nextFloat(), Number.EPSILON);
    const normal =
      Math.sqrt(-2 * Math.log(uniform)) *
      Math.cos(2 * Math.PI * random.nextFloat());
    return Math.exp(LATENCY_SIGMA * normal);
  });
}

function plannedRequestCount(): number {
  return (REQUESTS_PER_SECOND * MOVE_DURATION_MS) / 1_000;
}

/** Returns the load of a new endpoint in use relative to an old endpoint at the given share. */
function relativeLoad(share: number): number {
  if (share <= 0 || share >= 1) return share;
  const used = Math.max(
    1,
    Math.ceil((OLD_ENDPOINT_COUNT * share) / (1 - share)),
  );
  return (share / used) * (OLD_ENDPOINT_COUNT / (1 - share));
}

function createSpec(seed: number, startedAtMs: number): MoveSpec {
  return {
    moveId: `move-${seed}`,
    group: 'ruling-model',
    fromVersion: 'v1',
    toVersion: 'v2',
    kinds: [...KINDS],
    cautiousKinds: [...CAUTIOUS_KINDS],
    startedAtMs,
    deadlineAtMs: startedAtMs + MOVE_DURATION_MS,
    reason: 'operations, newer weights',
  };
}

function drawKind(random: Random): string {
  let remainder = random.nextFloat();
  for (const kind of KINDS) {
    remainder -= KIND_WEIGHTS[kind] ?? 0;
    if (remainder < 0) return kind;
  }
  return KINDS[0] ?? '';
}

function drawFaults(random: Random, startedAtMs: number): ClusterFaults {
  const outage = (probability: number, minMs: number, spreadMs: number) => {
    const occurs = random.nextFloat() < probability;
    const fromMs = startedAtMs + random.nextFloat() * MOVE_DURATION_MS;
    const untilMs = fromMs + minMs + random.nextFloat() * spreadMs;
    return occurs ? { fromMs, untilMs } : undefined;
  };
  return {
    keyValueOutage: outage(0.3, 10_000, 40_000),
    leaseHolderPause: outage(0.2, 5_000, 25_000),
    daemonRestart: outage(0.3, 3_000, 20_000),
  };
}
