import { SeededRandom } from '../../ports/index.js';
import type { TokenRate } from '../index.js';
import { TokenBucketLedger } from '../index.js';

const TICK_MS = 10;
const ROUND_MS = 500;
/** Time within which all daemons start. */
const MAX_START_MS = 300;
/** Time for which killed daemons serve nothing. */
const DOWN_MS = 500;
const FAN_OUT = 4;
const WINDOW_MS = 8_000;
const WORKSPACE = 'kowhai';

/** Excess that the platform tolerates over a workspace's limit. */
export const TOLERANCE = { rateShare: 0.1, tokens: 190_000 };
export const RATE: TokenRate = {
  tokensPerSecond: 800_000,
  burstTokens: 800_000,
  plainTokens: 200,
};

export interface GrantSimulationOptions {
  readonly daemons: number;
  readonly seed: number;
  readonly endAtMs: number;
  /** Tokens asked for, as a multiple of the limit, at a time since the start. */
  readonly demandAt: (nowMs: number) => number;
  readonly requestTokens: readonly number[];
  /** Time at which all daemons are killed and start again. */
  readonly killAtMs?: number;
  /** Interval at which all daemons write what they have admitted; at once if absent. */
  readonly writeIntervalMs?: number;
}

export interface GrantSimulationResult {
  /** Greatest excess over the limit and the tolerance in a window; negative where there is none. */
  readonly excessTokens: number;
  /** Tokens granted, as a share of those that were asked for within the limit. */
  readonly grantedShare: number;
  /** Tokens refused, as a share of those that were asked for. */
  readonly refusedShare: number;
}

interface Member {
  readonly id: string;
  readonly startedAtMs: number;
  readonly phaseMs: number;
  /** Relative number of requests. */
  readonly weight: number;
  readonly ledger: TokenBucketLedger;
}

interface AdmittedRequest {
  readonly tokens: number;
  readonly grant: ReturnType<TokenBucketLedger['deduct']>;
}

/** Plays requests of one workspace at many daemons that tell a few others of their grants at intervals, in virtual time. */
export class GrantSimulation {
  private readonly random: SeededRandom;
  private members: readonly Member[];
  private readonly grants: { atMs: number; tokens: number }[] = [];
  private unwritten: AdmittedRequest[] = [];
  private owedTokens = 0;
  private askedTokens = 0;
  private refusedTokens = 0;

  constructor(private readonly options: GrantSimulationOptions) {
    this.random = new SeededRandom(options.seed);
    this.members = this.startAll(0);
  }

  run(): GrantSimulationResult {
    for (
      let nowMs = MAX_START_MS;
      nowMs < this.options.endAtMs;
      nowMs += TICK_MS
    ) {
      const { killAtMs = Infinity } = this.options;
      if (nowMs === killAtMs) this.members = this.startAll(killAtMs + DOWN_MS);
      if (nowMs >= killAtMs && nowMs < killAtMs + DOWN_MS) continue;
      this.exchange(nowMs);
      this.request(nowMs);
      const { writeIntervalMs = TICK_MS } = this.options;
      if (nowMs % writeIntervalMs === 0) this.writeAll(nowMs);
    }
    const grantedTokens = this.grants.reduce(
      (sum, each) => sum + each.tokens,
      0,
    );
    return {
      excessTokens: this.maxExcess(),
      grantedShare: grantedTokens / this.owedTokens,
      refusedShare: this.refusedTokens / this.askedTokens,
    };
  }

  private startAll(atMs: number): readonly Member[] {
    return Array.from({ length: this.options.daemons }, (_, index) => {
      const startedAtMs = atMs + this.random.nextInteger(MAX_START_MS);
      return {
        id: `d${index}/${startedAtMs}`,
        startedAtMs,
        phaseMs: this.random.nextInteger(ROUND_MS / TICK_MS) * TICK_MS,
        weight: 0.4 + this.random.nextFloat() * 1.2,
        ledger: new TokenBucketLedger({
          tolerance: TOLERANCE,
          startedAtMs,
          isFirstStart: atMs === 0,
          rateOf: () => RATE,
        }),
      };
    });
  }

  private exchange(nowMs: number): void {
    for (const member of this.members) {
      if (nowMs % ROUND_MS !== member.phaseMs) continue;
      const peers = this.members.filter(peer => peer !== member);
      for (let call = 0; call < Math.min(FAN_OUT, peers.length); call += 1) {
        const [peer] = peers.splice(this.random.nextInteger(peers.length), 1);
        if (peer === undefined) continue;
        tell(member, peer, nowMs);
        tell(peer, member, nowMs);
      }
    }
  }

  private request(nowMs: number): void {
    const { demandAt, requestTokens } = this.options;
    const limitTokens = (RATE.tokensPerSecond * TICK_MS) / 1_000;
    const demand = demandAt(nowMs) * limitTokens;
    if (demand > limitTokens) this.owedTokens += limitTokens;
    const meanTokens =
      requestTokens.reduce((sum, tokens) => sum + tokens, 0) /
      requestTokens.length;
    const expected = demand / meanTokens;
    let count = Math.floor(expected);
    if (this.random.nextFloat() < expected - count) count += 1;
    for (; count > 0; count -= 1) {
      const tokens =
        requestTokens[this.random.nextInteger(requestTokens.length)] ?? 0;
      if (demand <= limitTokens) this.owedTokens += tokens;
      this.askedTokens += tokens;
      const { ledger } = this.pick();
      if (ledger.waitMs(WORKSPACE, RATE, tokens, nowMs) !== undefined) {
        this.refusedTokens += tokens;
        continue;
      }
      const grant = ledger.deduct(WORKSPACE, RATE, tokens, nowMs);
      this.unwritten.push({ tokens, grant });
    }
  }

  private writeAll(nowMs: number): void {
    for (const { grant, tokens } of this.unwritten) {
      if (grant.waitMs(nowMs) === undefined) {
        grant.recordWrite(nowMs);
        this.grants.push({ atMs: nowMs, tokens });
      } else this.refusedTokens += tokens;
      grant.close(nowMs);
    }
    this.unwritten = [];
  }

  private pick(): Member {
    const total = this.members.reduce((sum, { weight }) => sum + weight, 0);
    let left = this.random.nextFloat() * total;
    for (const member of this.members) {
      left -= member.weight;
      if (left < 0) return member;
    }
    throw new Error('The simulation has no daemons.');
  }

  private maxExcess(): number {
    const { rateShare, tokens } = TOLERANCE;
    const { burstTokens, tokensPerSecond } = RATE;
    const windowTokens = (tokensPerSecond * WINDOW_MS) / 1_000 + burstTokens;
    const allowed = windowTokens * (1 + rateShare) + tokens;
    let first = 0;
    let sum = 0;
    let max = 0;
    for (const grant of this.grants) {
      sum += grant.tokens;
      for (;;) {
        const oldest = this.grants[first];
        if (oldest === undefined || grant.atMs - oldest.atMs < WINDOW_MS) break;
        sum -= oldest.tokens;
        first += 1;
      }
      max = Math.max(max, sum);
    }
    return max - allowed;
  }
}

/** Delivers the hints of one daemon to another. */
function tell(from: Member, to: Member, nowMs: number): void {
  const { id: lifetime, ledger, startedAtMs } = from;
  const ageMs = Math.max(0, nowMs - startedAtMs);
  const granted = ledger.grantedTotals();
  to.ledger.applyPeerGrants({ lifetime, ageMs, granted }, nowMs);
  for (const grants of ledger.grantsToPassOn(nowMs))
    if (grants.lifetime !== to.id) to.ledger.applyPassedOnGrants(grants, nowMs);
}
