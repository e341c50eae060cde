import { createRulesEntry } from '@skylarkreach/core/rules';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
} from '../experiment/index.js';
import { atMost } from '../experiment/index.js';
import type { SimulatedDaemon } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';

const SIZES: readonly number[] = [9, 50, 300];
const FULL_SIZES: readonly number[] = [9, 50, 300, 1_000];
const DATA_CENTRES = 4;
const WARM_UP_MS = 15_000;
const QUIET_MS = 10_000;
const STEP_MS = 50;
const GIVE_UP_AFTER_MS = 30_000;
const RECOVERY_MS = 12_000;
const SILENT_SHARE = 0.1;
const LOSS_SHARE = 0.2;
const OLD_MESSAGES = 5;

const MAX_IN_FORCE_MS = 5_000;
const MAX_CALLS_PER_DATA_CENTRE = 4;
const MAX_CALLS_GROWTH = 1.25;

/** What goes wrong at the moment at which the line is accepted. */
interface Trial {
  readonly name: string;
  readonly killsRelays?: boolean;
  readonly killsWriter?: boolean;
  readonly silentShare?: number;
  readonly lossShare?: number;
  readonly keyValueDown?: boolean;
}

const TRIALS: readonly Trial[] = [
  { name: 'no fault' },
  { name: 'relays killed', killsRelays: true },
  { name: 'writer killed', killsWriter: true },
  { name: 'silent links', silentShare: SILENT_SHARE },
  { name: 'messages lost', lossShare: LOSS_SHARE },
  { name: 'key-value service down', keyValueDown: true },
  {
    name: 'all at once',
    killsRelays: true,
    silentShare: SILENT_SHARE,
    keyValueDown: true,
  },
];

interface SizeResult {
  readonly rows: readonly ReportRow[];
  readonly worstMs: number;
  readonly reverts: number;
  readonly callsPerSecond: number;
}

/** Time from an accepted rule line to its being in force on every daemon. */
export const configExperiment: Experiment = {
  name: 'config',
  description: 'time until a rule line is in force on all daemons under faults',
  run: runConfig,
};

async function runConfig(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const results: SizeResult[] = [];
  for (const daemons of options.full ? FULL_SIZES : SIZES) {
    results.push(await runSize(daemons, options.seed));
  }
  const calls = results.map(result => result.callsPerSecond);
  return {
    rows: results.flatMap(result => result.rows),
    targets: [
      atMost(
        'worst time in force',
        Math.max(...results.map(result => result.worstMs)),
        MAX_IN_FORCE_MS,
        'ms',
      ),
      atMost('reverts', sum(results.map(result => result.reverts)), 0, ''),
      atMost(
        'key-value calls a second, most at any size',
        Math.max(...calls),
        MAX_CALLS_PER_DATA_CENTRE * DATA_CENTRES,
        '',
      ),
      atMost(
        'key-value calls, largest size over smallest',
        (calls.at(-1) ?? 0) / (calls[0] ?? 1),
        MAX_CALLS_GROWTH,
        '',
      ),
    ],
  };
}

async function runSize(daemons: number, seed: number): Promise<SizeResult> {
  const fleet = new SimulatedFleet({
    daemons,
    dataCentres: DATA_CENTRES,
    seed,
  });
  const run = new ConfigRun(fleet, daemons);
  await fleet.start('kind=* target=a deadline=1m # operations, revision 1\n');
  await fleet.advance(WARM_UP_MS);
  const callsPerSecond = await run.measureCalls();
  const rows: ReportRow[] = [];
  for (const trial of TRIALS) {
    rows.push(await run.measure(trial));
    await run.recover();
  }
  fleet.stop();
  return {
    rows: rows.map(row => ({ ...row, callsPerSecond })),
    worstMs: run.worstMs,
    reverts: run.reverts,
    callsPerSecond,
  };
}

/** The trials on one fleet. */
class ConfigRun {
  worstMs = 0;
  reverts = 0;
  private revision = 1;
  private readonly seen = new Map<string, number>();

  constructor(
    private readonly fleet: SimulatedFleet,
    private readonly size: number,
  ) {}

  /** Calls a second of the key-value service while nothing changes. */
  async measureCalls(): Promise<number> {
    const before = this.fleet.keyValue.calls;
    await this.fleet.advance(QUIET_MS);
    const calls = this.fleet.keyValue.calls - before;
    return calls / (QUIET_MS / 1_000);
  }

  async measure(trial: Trial): Promise<ReportRow> {
    const { fleet } = this;
    const killed = trial.killsRelays === true ? this.relaysToKill() : [];
    const writer = this.writerOutside(killed);
    const text = `kind=* target=a deadline=1m # operations, revision ${this.revision + 1}\n`;
    this.revision = await fleet.write(text, this.revision);
    if (trial.killsWriter === true) fleet.kill(writer);
    else acceptAt(writer, this.revision, text);
    this.startFaults(trial, killed);
    const callsBefore = fleet.keyValue.calls;
    const inForceMs = await this.waitForAll();
    const starterRevision = await this.startDuringFaults();
    this.worstMs = Math.max(this.worstMs, inForceMs);
    return {
      trial: trial.name,
      daemons: this.size,
      inForceMs,
      starterRevision: starterRevision - this.revision,
      callsDuring: fleet.keyValue.calls - callsBefore,
      livePeersMin: this.livePeersMin(),
    };
  }

  /** Ends the faults and replaces the daemons that were killed. */
  async recover(): Promise<void> {
    const { fleet } = this;
    fleet.keyValueDown = false;
    fleet.silentShare = 0;
    fleet.lossShare = 0;
    let index = 0;
    while (fleet.daemons.length < this.size) {
      fleet.add(`dc-${index % DATA_CENTRES}`);
      index += 1;
    }
    while (fleet.daemons.length > this.size) fleet.kill(fleet.pick());
    await this.sendOldMessages();
    await this.advanceChecking(RECOVERY_MS);
  }

  private startFaults(trial: Trial, killed: readonly SimulatedDaemon[]): void {
    const { fleet } = this;
    for (const daemon of killed) fleet.kill(daemon);
    fleet.keyValueDown = trial.keyValueDown === true;
    fleet.silentShare = trial.silentShare ?? 0;
    fleet.lossShare = trial.lossShare ?? 0;
  }

  /** All relays of every other data centre. */
  private relaysToKill(): readonly SimulatedDaemon[] {
    return this.fleet.daemons.filter(({ identity, service }) => {
      const isHit = ['dc-1', 'dc-3'].includes(identity.dataCentre);
      return isHit && service.status().relay;
    });
  }

  private writerOutside(killed: readonly SimulatedDaemon[]): SimulatedDaemon {
    for (;;) {
      const daemon = this.fleet.pick();
      if (!killed.includes(daemon)) return daemon;
    }
  }

  private async waitForAll(): Promise<number> {
    let elapsedMs = 0;
    while (!this.isInForce() && elapsedMs < GIVE_UP_AFTER_MS) {
      await this.advanceChecking(STEP_MS);
      elapsedMs += STEP_MS;
    }
    return elapsedMs;
  }

  private isInForce(): boolean {
    return this.fleet.daemons.every(
      each => each.rules.revision >= this.revision,
    );
  }

  /** Starts a daemon while the faults last; returns the revision that it holds after 2 s. */
  private async startDuringFaults(): Promise<number> {
    const daemon = this.fleet.add('dc-0');
    await this.advanceChecking(2_000);
    return daemon.rules.revision;
  }

  /** Delivers pushes of an old version, as a slow network would. */
  private async sendOldMessages(): Promise<void> {
    for (let sent = 0; sent < OLD_MESSAGES; sent += 1) {
      const from = this.fleet.pick();
      const to = this.fleet.pick();
      const patch = from.service.store.fullPatch('rules/current');
      if (patch === undefined) continue;
      await this.fleet.push(from, to, {
        patches: [{ ...patch, version: 1 }],
        entersCell: true,
      });
    }
  }

  private async advanceChecking(byMs: number): Promise<void> {
    const endAtMs = this.fleet.clock.nowMs() + byMs;
    while (this.fleet.clock.nowMs() < endAtMs) {
      await this.fleet.advance(STEP_MS);
      this.countReverts();
    }
  }

  private countReverts(): void {
    for (const { identity, rules } of this.fleet.daemons) {
      const before = this.seen.get(identity.id) ?? 0;
      if (rules.revision < before) this.reverts += 1;
      this.seen.set(identity.id, rules.revision);
    }
  }

  private livePeersMin(): number {
    const counts = this.fleet.daemons.map(
      each => each.service.status().livePeers,
    );
    return Math.min(...counts);
  }
}

/** What the operators' call does in the daemon that took the edit. */
function acceptAt(
  daemon: SimulatedDaemon,
  version: number,
  text: string,
): void {
  daemon.rules.apply(createRulesEntry(text, version));
}

function sum(figures: readonly number[]): number {
  return figures.reduce((total, figure) => total + figure, 0);
}
