import type { Random } from '@skylarkreach/core/ports';

/** Scenarios of a version move, by how the new version or the platform behaves. */
export enum MoveCase {
  Good = 'good',
  FailsAtOnce = 'failsAtOnce',
  SlowAtOnce = 'slowAtOnce',
  FailsLate = 'failsLate',
  FailsUnderLoad = 'failsUnderLoad',
  SingleRoute = 'singleRoute',
  AfterFullShare = 'afterFullShare',
  SharedIncident = 'sharedIncident',
}

/** Cases in which the new version is faulty and has to be rolled back. */
export const BAD_CASES: readonly MoveCase[] = [
  MoveCase.FailsAtOnce,
  MoveCase.SlowAtOnce,
  MoveCase.FailsLate,
  MoveCase.FailsUnderLoad,
  MoveCase.SingleRoute,
  MoveCase.AfterFullShare,
];

/** Fraction of the simulated requests that are of each kind; the fractions add up to 1. */
export const KIND_WEIGHTS: Readonly<Record<string, number>> = {
  lookup: 0.42,
  classification: 0.28,
  'coding-question': 0.16,
  'ledger-review': 0.09,
  posting: 0.05,
};

export const KINDS: readonly string[] = Object.keys(KIND_WEIGHTS);
export const CAUTIOUS_KINDS: readonly string[] = ['posting'];

const BASE_FAILURE_RATE = 0.004;
const BASE_FIRST_TOKEN_MS = 200;
const BASE_TOKEN_GAP_MS = 30;
/** Load of a new endpoint, relative to an old one, from which the load-dependent fault occurs. */
const FAULT_LOAD_THRESHOLD = 0.7;

/** Failure rate and latencies of a simulated endpoint for one request. */
export interface Behaviour {
  readonly failureRate: number;
  readonly firstTokenMs: number;
  readonly tokenGapMs: number;
}

/** Faults of the new version, or of both versions, during one move. */
export class FaultModel {
  readonly faultyKind: string;
  private readonly failureRate: number;
  private readonly slowFactor: number;
  private readonly slowsTokens: boolean;
  private onsetAtMs: number;
  private readonly incidentUntilMs: number;

  constructor(
    readonly moveCase: MoveCase,
    random: Random,
    private readonly startedAtMs: number,
    deadlineAtMs: number,
  ) {
    const durationMs = deadlineAtMs - startedAtMs;
    this.failureRate = 0.1 + 0.9 * random.nextFloat();
    this.slowFactor = 1.5 + 2.5 * random.nextFloat();
    this.slowsTokens = random.nextFloat() < 0.5;
    this.faultyKind = KINDS[random.nextInteger(KINDS.length)] ?? '';
    this.onsetAtMs = this.drawOnsetAtMs(random, durationMs);
    this.incidentUntilMs = this.onsetAtMs + durationMs * 0.2;
  }

  /** Records the progress of the move. `AfterFullShare` faults start 5 s after the mean share reaches 0.8 or the time reaches 15 s before the earliest end. */
  observeShare(meanShare: number, earliestEndMs: number, nowMs: number): void {
    if (this.moveCase !== MoveCase.AfterFullShare) return;
    const isFull = meanShare >= 0.8 || nowMs >= earliestEndMs - 15_000;
    if (this.onsetAtMs === Infinity && isFull) this.onsetAtMs = nowMs + 5_000;
  }

  /** Returns whether the new version is faulty for a request of the kind at the relative load. */
  isFaulty(kind: string, newLoad: number, nowMs: number): boolean {
    if (nowMs < this.onsetAtMs) return false;
    switch (this.moveCase) {
      case MoveCase.Good:
      case MoveCase.SharedIncident:
        return false;
      case MoveCase.SingleRoute:
        return kind === this.faultyKind;
      case MoveCase.FailsUnderLoad:
        return newLoad >= FAULT_LOAD_THRESHOLD;
      case MoveCase.FailsAtOnce:
      case MoveCase.SlowAtOnce:
      case MoveCase.FailsLate:
      case MoveCase.AfterFullShare:
        return true;
    }
  }

  behaviour(
    kind: string,
    isNew: boolean,
    newLoad: number,
    nowMs: number,
  ): Behaviour {
    if (isNew && this.isFaulty(kind, newLoad, nowMs)) {
      return this.moveCase === MoveCase.SlowAtOnce
        ? this.slowBehaviour()
        : this.failingBehaviour();
    }
    const isIncident =
      this.moveCase === MoveCase.SharedIncident &&
      nowMs >= this.onsetAtMs &&
      nowMs < this.incidentUntilMs;
    return isIncident
      ? { ...this.slowBehaviour(), ...this.incidentFailureRate() }
      : HEALTHY_BEHAVIOUR;
  }

  private drawOnsetAtMs(random: Random, durationMs: number): number {
    const startsDuringMove =
      this.moveCase === MoveCase.FailsLate ||
      this.moveCase === MoveCase.SharedIncident;
    if (this.moveCase === MoveCase.AfterFullShare) return Infinity;
    if (!startsDuringMove) return this.startedAtMs;
    return this.startedAtMs + durationMs * (0.1 + 0.5 * random.nextFloat());
  }

  private failingBehaviour(): Behaviour {
    return { ...HEALTHY_BEHAVIOUR, failureRate: this.failureRate };
  }

  private incidentFailureRate(): { failureRate: number } {
    return { failureRate: this.failureRate * 0.6 };
  }

  private slowBehaviour(): Behaviour {
    return this.slowsTokens
      ? {
          ...HEALTHY_BEHAVIOUR,
          tokenGapMs: BASE_TOKEN_GAP_MS * this.slowFactor,
        }
      : {
          ...HEALTHY_BEHAVIOUR,
          firstTokenMs: BASE_FIRST_TOKEN_MS * this.slowFactor,
        };
  }
}

const HEALTHY_BEHAVIOUR: Behaviour = {
  failureRate: BASE_FAILURE_RATE,
  firstTokenMs: BASE_FIRST_TOKEN_MS,
  tokenGapMs: BASE_TOKEN_GAP_MS,
};
