import { SeededRandom } from '../../ports/index.js';
import type { DaemonHints } from '../index.js';
import { HintStore } from '../index.js';

const ROUND_MS = 500;
const TRANSIT_MS = 5;
const WARM_UP_MS = 10_000;
const END_MS = 20_000;
const VERSION = 1;
/** One in each of four data centres. */
const READERS = 4;

export interface NewsOptions {
  readonly daemons: number;
  /** Number of peers that a daemon calls each half second. */
  readonly fanOut: number;
  /** Whether daemons pass on what they have heard, or tell only what they read themselves. */
  readonly isPassedOn: boolean;
  readonly lostShare: number;
  /** Share of the daemons that receive no calls. */
  readonly deafShare: number;
  readonly seed: number;
}

/** One daemon with the store of what it has heard; a reader reads all the time. */
class Member {
  readonly store = new HintStore();
  private sequence = 0;

  constructor(
    private readonly id: string,
    private readonly isReader: boolean,
    readonly isDeaf: boolean,
  ) {}

  readAtMs(nowMs: number): number {
    return this.isReader ? nowMs : this.store.operatorReadAtMs(VERSION);
  }

  hints(nowMs: number, isPassedOn: boolean): DaemonHints {
    this.sequence += 1;
    const readAtMs =
      isPassedOn || this.isReader ? this.readAtMs(nowMs) : -Infinity;
    const operatorReadAgeMs = nowMs - readAtMs;
    return {
      daemonId: this.id,
      lifetime: this.id,
      sequence: this.sequence,
      ageMs: 0,
      wallMs: 0,
      work: {},
      grantedTokens: {},
      usage: [],
      endpointsVersion: VERSION,
      configurationVersion: VERSION,
      ...(Number.isFinite(operatorReadAgeMs) && { operatorReadAgeMs }),
      rollouts: [],
      holdsDuties: false,
    };
  }
}

/**
 * Plays exchanges of hints between daemons with the real store of hints, in
 * virtual time. Returns the greatest age in milliseconds of the readers' news at
 * any daemon; Infinity if one has not heard of it.
 */
export function maxNewsAgeMs(options: NewsOptions): number {
  const { daemons, deafShare, fanOut, isPassedOn, lostShare, seed } = options;
  const random = new SeededRandom(seed);
  const firstHearing = READERS + daemons * deafShare;
  const members = Array.from(
    { length: daemons },
    (_, index) =>
      new Member(
        `d${index}`,
        index < READERS,
        index >= READERS && index < firstHearing,
      ),
  );
  const phasesMs = members.map(() => random.nextInteger(ROUND_MS));
  let maxMs = 0;
  for (let nowMs = 0; nowMs < END_MS; nowMs += 1) {
    for (const [index, member] of members.entries()) {
      if (nowMs % ROUND_MS !== phasesMs[index]) continue;
      if (nowMs > WARM_UP_MS)
        maxMs = Math.max(maxMs, nowMs - member.readAtMs(nowMs));
      for (let call = 0; call < fanOut; call += 1) {
        const peer = members[random.nextInteger(daemons)];
        const isLost = random.nextFloat() < lostShare;
        if (peer === undefined || peer.isDeaf || isLost) continue;
        peer.store.add(member.hints(nowMs, isPassedOn), nowMs);
        const answer = peer.hints(nowMs, isPassedOn);
        member.store.add(answer, nowMs + TRANSIT_MS, nowMs);
      }
    }
  }
  return maxMs;
}
