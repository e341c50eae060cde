import type { KnownDaemons } from '../membership/index.js';
import type { Random } from '../ports/index.js';
import { SimulatedMembership } from './simulated-membership.js';

export const SIMULATION_STEP_MS = 50;
/** Exchange of hints between daemons. */
const EXCHANGE_INTERVAL_MS = 500;
const EXCHANGE_FAN_OUT = 4;
/** Longest time that hints are in transit. */
const MAX_TRANSIT_MS = 400;

export enum Disturbance {
  Join = 'join',
  Restart = 'restart',
  CutOff = 'cutOff',
  Heal = 'heal',
  Pause = 'pause',
  Resume = 'resume',
}

/** What a daemon tells its peers of a limit that they share. */
export interface SharingGuard<Hints> {
  hints(): Hints;
  applyPeer(hints: Hints): void;
}

export interface SimulatedDaemon<Guard> {
  readonly id: string;
  readonly guard: Guard;
  readonly known: KnownDaemons;
  /** Time at which it was told that there is something to share; Infinity before. */
  toldAtMs: number;
}

/** Daemons that share a limit, with the exchange of their hints and a membership protocol that notices changes late. */
export abstract class SharingSimulation<
  Hints,
  Guard extends SharingGuard<Hints>,
> {
  nowMs = 0;
  readonly daemons: SimulatedDaemon<Guard>[] = [];
  protected readonly membership = new SimulatedMembership(() => this.nowMs);
  private inTransit: { arrivesAtMs: number; deliver: () => void }[] = [];

  constructor(protected readonly random: Random) {}

  join(): void {
    this.daemons.push(this.started(`d${this.daemons.length}`));
  }

  disturb(kind: Disturbance, index: number): void {
    const daemon = this.daemons[index % this.daemons.length];
    if (daemon === undefined) return;
    switch (kind) {
      case Disturbance.Join:
        this.join();
        break;
      case Disturbance.Restart:
        Object.assign(daemon, this.started(daemon.id));
        break;
      case Disturbance.CutOff:
      case Disturbance.Heal:
        this.membership.setCutOff(daemon.id, kind === Disturbance.CutOff);
        break;
      case Disturbance.Pause:
        this.membership.pause(daemon.id);
        break;
      case Disturbance.Resume:
        this.membership.resume(daemon.id);
    }
  }

  step(): void {
    this.nowMs += SIMULATION_STEP_MS;
    this.deliver();
    this.daemons.forEach((daemon, index) => {
      if (this.membership.isPaused(daemon.id)) return;
      this.act(daemon, index);
      if (this.isDue(EXCHANGE_INTERVAL_MS, index)) this.exchange(daemon);
    });
  }

  protected abstract createGuard(id: string, known: KnownDaemons): Guard;

  /** Does what a daemon does in one step. */
  protected abstract act(daemon: SimulatedDaemon<Guard>, index: number): void;

  /** Whether something is due that each daemon does at intervals. */
  protected isDue(intervalMs: number, index: number): boolean {
    const phaseMs = (index * SIMULATION_STEP_MS) % intervalMs;
    return this.nowMs % intervalMs === phaseMs;
  }

  private started(id: string): SimulatedDaemon<Guard> {
    const known = this.membership.start(id);
    const guard = this.createGuard(id, known);
    return { id, guard, known, toldAtMs: Infinity };
  }

  private exchange(daemon: SimulatedDaemon<Guard>): void {
    for (let sent = 0; sent < EXCHANGE_FAN_OUT; sent += 1) {
      const peer = this.daemons[this.random.nextInteger(this.daemons.length)];
      if (peer === undefined || peer === daemon) continue;
      const isAway = [peer, daemon].some(
        ({ id }) =>
          this.membership.isCutOff(id) || this.membership.isPaused(id),
      );
      if (isAway) continue;
      this.sendHints(daemon, peer);
      this.sendHints(peer, daemon);
    }
  }

  private sendHints(
    from: SimulatedDaemon<Guard>,
    to: SimulatedDaemon<Guard>,
  ): void {
    const hints = from.guard.hints();
    const arrivesAtMs = this.nowMs + this.random.nextFloat() * MAX_TRANSIT_MS;
    const deliver = () => {
      to.guard.applyPeer(hints);
    };
    this.inTransit.push({ arrivesAtMs, deliver });
  }

  private deliver(): void {
    const arrived = this.inTransit.filter(
      ({ arrivesAtMs }) => arrivesAtMs <= this.nowMs,
    );
    this.inTransit = this.inTransit.filter(each => !arrived.includes(each));
    for (const { deliver } of arrived) deliver();
  }
}

/** Returns the most events in any window of time of the given length that ends at `fromMs` or later. */
export function busiestWindow(
  timesMs: readonly number[],
  windowMs: number,
  fromMs = -Infinity,
): number {
  const sorted = timesMs.toSorted((left, right) => left - right);
  let first = 0;
  let most = 0;
  sorted.forEach((atMs, last) => {
    while ((sorted[first] ?? atMs) <= atMs - windowMs) first += 1;
    if (atMs >= fromMs) most = Math.max(most, last - first + 1);
  });
  return most;
}
