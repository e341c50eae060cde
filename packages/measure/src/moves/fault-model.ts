import type { Random } from '@skylarkreach/core/ports';

/** Kinds of moves that the experiment runs. */
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

/** Cases whose new version is bad. */
export const BAD_CASES: readonly MoveCase[] = [
  MoveCase.FailsAtOnce,
  MoveCase.SlowAtOnce,
  MoveCase.FailsLate,
  MoveCase.FailsUnderLoad,
  MoveCase.SingleRoute,
  MoveCase.AfterFullShare,
];

/** Share of each kind among the requests of the simulated workload. */
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
/** Load of an endpoint, against the old ones, above which the fault shows. */
const FAULT_LOAD_THRESHOLD = 0.7;

/** What the simulated endpoints do to one request. */
export interface Behaviour {
  readonly failureRate: number;
  readonly firstTokenMs: number;
  readonly tokenGapMs: number;
}

/** How the new version, or both, misbehave in one move. */
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
    const timeMs = deadlineAtMs - startedAtMs;
    this.failureRate = 0.1 + 0.9 * random.nextFloat();
    this.slowFactor = 1.5 + 2.5 * random.nextFloat();
    this.slowsTokens = random.nextFloat() < 0.5;
    this.faultyKind = KINDS[random.nextInteger(KINDS.length)] ?? '';
    this.onsetAtMs = this.drawOnsetAtMs(random, timeMs);
    this.incidentUntilMs = this.onsetAtMs + timeMs * 0.2;
  }

  /** Tells the model how far the move is, for the fault that waits for the full share. */
  observeShare(meanShare: number, endFromMs: number, nowMs: number): void {
    if (this.moveCase !== MoveCase.AfterFullShare) return;
    const isFull = meanShare >= 0.8 || nowMs >= endFromMs - 15_000;
    if (this.onsetAtMs === Infinity && isFull) this.onsetAtMs = nowMs + 5_000;
  }

  /** True once the new version misbehaves for the kind at the load. */
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

  private drawOnsetAtMs(random: Random, timeMs: number): number {
    const isLater =
      this.moveCase === MoveCase.FailsLate ||
      this.moveCase === MoveCase.SharedIncident;
    if (this.moveCase === MoveCase.AfterFullShare) return Infinity;
    if (!isLater) return this.startedAtMs;
    return this.startedAtMs + timeMs * (0.1 + 0.5 * random.nextFloat());
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
