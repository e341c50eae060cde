import { createRulesEntry } from '@skylarkreach/core/rules';

import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
} from '../experiment/index.js';
import { upperBoundTarget } from '../experiment/index.js';
import type { SimulatedDaemon } from './simulated-fleet.js';
import { SimulatedFleet } from './simulated-fleet.js';

const SIZES: readonly number[] = [9, 50, 300];
const FULL_SIZES: readonly number[] = [9, 50, 300, 1_000];
const DATA_CENTRES = 4;
const WARM_UP_MS = 15_000;
const IDLE_MS = 10_000;
const STEP_MS = 50;
const MAX_WAIT_MS = 30_000;
const RECOVERY_MS = 12_000;
const SILENT_LINK_SHARE = 0.1;
const MESSAGE_LOSS_SHARE = 0.2;
const STALE_MESSAGES = 5;

const MAX_IN_FORCE_MS = 5_000;
const MAX_CALLS_PER_DATA_CENTRE = 4;
const MAX_CALLS_GROWTH_RATIO = 1.25;

/** Faults that are injected when the rules edit is accepted. */
interface FaultScenario {
  readonly name: string;
  readonly killsRelays?: boolean;
  readonly killsWriter?: boolean;
  readonly silentLinkShare?: number;
  readonly messageLossShare?: number;
  readonly isKeyValueDown?: boolean;
}

const FAULT_SCENARIOS: readonly FaultScenario[] = [
  { name: 'no fault' },
  { name: 'relays killed', killsRelays: true },
  { name: 'writer killed', killsWriter: true },
  { name: 'silent links', silentLinkShare: SILENT_LINK_SHARE },
  { name: 'messages lost', messageLossShare: MESSAGE_LOSS_SHARE },
  { name: 'key-value service down', isKeyValueDown: true },
  {
    name: 'all at once',
    killsRelays: true,
    silentLinkShare: SILENT_LINK_SHARE,
    isKeyValueDown: true,
  },
];

interface SizeResult {
  readonly rows: readonly ReportRow[];
  readonly maxInForceMs: number;
  readonly reverts: number;
  readonly callsPerSecond: number;
}

/** Measures the time from the acceptance of a rules edit until every daemon applies it. */
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
      upperBoundTarget(
        'worst time in force',
        Math.max(...results.map(result => result.maxInForceMs)),
        MAX_IN_FORCE_MS,
        'ms',
      ),
      upperBoundTarget(
        'reverts',
        sum(results.map(result => result.reverts)),
        0,
        '',
      ),
      upperBoundTarget(
        'key-value calls a second, most at any size',
        Math.max(...calls),
        MAX_CALLS_PER_DATA_CENTRE * DATA_CENTRES,
        '',
      ),
      upperBoundTarget(
        'key-value calls, largest size over smallest',
        (calls.at(-1) ?? 0) / (calls[0] ?? 1),
        MAX_CALLS_GROWTH_RATIO,
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
  const callsPerSecond = await run.measureIdleCallsPerSecond();
  const rows: ReportRow[] = [];
  for (const scenario of FAULT_SCENARIOS) {
    rows.push(await run.runScenario(scenario));
    await run.recover();
  }
  fleet.stop();
  return {
    rows: rows.map(row => ({ ...row, callsPerSecond })),
    maxInForceMs: run.maxInForceMs,
    reverts: run.reverts,
    callsPerSecond,
  };
}

/** Fault scenarios that run one after another on one fleet. */
class ConfigRun {
  maxInForceMs = 0;
  reverts = 0;
  private revision = 1;
  private readonly lastRevisionById = new Map<string, number>();

  constructor(
    private readonly fleet: SimulatedFleet,
    private readonly size: number,
  ) {}

  /** Returns the calls per second to the key-value service while the rules do not change. */
  async measureIdleCallsPerSecond(): Promise<number> {
    const callsBefore = this.fleet.keyValue.callCount;
    await this.fleet.advance(IDLE_MS);
    const calls = this.fleet.keyValue.callCount - callsBefore;
    return calls / (IDLE_MS / 1_000);
  }

  async runScenario(scenario: FaultScenario): Promise<ReportRow> {
    const { fleet } = this;
    const killed = scenario.killsRelays === true ? this.findRelaysToKill() : [];
    const writer = this.pickWriterExcept(killed);
    const text = `kind=* target=a deadline=1m # operations, revision ${this.revision + 1}\n`;
    this.revision = await fleet.writeRules(text, this.revision);
    if (scenario.killsWriter === true) fleet.killDaemon(writer);
    else applyEdit(writer, this.revision, text);
    this.injectFaults(scenario, killed);
    const callsBefore = fleet.keyValue.callCount;
    const inForceMs = await this.waitUntilInForce();
    const starterRevision = await this.startDaemonDuringFaults();
    this.maxInForceMs = Math.max(this.maxInForceMs, inForceMs);
    return {
      trial: scenario.name,
      daemons: this.size,
      inForceMs,
      starterRevision: starterRevision - this.revision,
      callsDuring: fleet.keyValue.callCount - callsBefore,
      livePeersMin: this.minLivePeers(),
    };
  }

  /** Ends the faults, restores the size of the fleet and replays stale messages. */
  async recover(): Promise<void> {
    const { fleet } = this;
    fleet.isKeyValueDown = false;
    fleet.silentLinkShare = 0;
    fleet.messageLossShare = 0;
    let index = 0;
    while (fleet.daemons.length < this.size) {
      fleet.addDaemon(`dc-${index % DATA_CENTRES}`);
      index += 1;
    }
    while (fleet.daemons.length > this.size)
      fleet.killDaemon(fleet.pickDaemon());
    await this.sendStaleMessages();
    await this.advanceCountingReverts(RECOVERY_MS);
  }

  private injectFaults(
    scenario: FaultScenario,
    killed: readonly SimulatedDaemon[],
  ): void {
    const { fleet } = this;
    for (const daemon of killed) fleet.killDaemon(daemon);
    fleet.isKeyValueDown = scenario.isKeyValueDown === true;
    fleet.silentLinkShare = scenario.silentLinkShare ?? 0;
    fleet.messageLossShare = scenario.messageLossShare ?? 0;
  }

  /** Returns all relays of two of the four data centres. */
  private findRelaysToKill(): readonly SimulatedDaemon[] {
    return this.fleet.daemons.filter(({ identity, service }) => {
      const isAffected = ['dc-1', 'dc-3'].includes(identity.dataCentre);
      return isAffected && service.status().relay;
    });
  }

  private pickWriterExcept(
    killed: readonly SimulatedDaemon[],
  ): SimulatedDaemon {
    for (;;) {
      const daemon = this.fleet.pickDaemon();
      if (!killed.includes(daemon)) return daemon;
    }
  }

  private async waitUntilInForce(): Promise<number> {
    let elapsedMs = 0;
    while (!this.isInForceEverywhere() && elapsedMs < MAX_WAIT_MS) {
      await this.advanceCountingReverts(STEP_MS);
      elapsedMs += STEP_MS;
    }
    return elapsedMs;
  }

  private isInForceEverywhere(): boolean {
    return this.fleet.daemons.every(
      daemon => daemon.rules.revision >= this.revision,
    );
  }

  /** Starts a daemon while the faults last; returns its rules revision after 2 s. */
  private async startDaemonDuringFaults(): Promise<number> {
    const daemon = this.fleet.addDaemon('dc-0');
    await this.advanceCountingReverts(2_000);
    return daemon.rules.revision;
  }

  /** Delivers pushes of version 1 of the rules, as a network that delays messages would. */
  private async sendStaleMessages(): Promise<void> {
    for (let sent = 0; sent < STALE_MESSAGES; sent += 1) {
      const from = this.fleet.pickDaemon();
      const to = this.fleet.pickDaemon();
      const patch = from.service.store.fullPatch('rules/current');
      if (patch === undefined) continue;
      await this.fleet.sendPush(from, to, {
        patches: [{ ...patch, version: 1 }],
        entersCell: true,
      });
    }
  }

  private async advanceCountingReverts(byMs: number): Promise<void> {
    const endAtMs = this.fleet.clock.nowMs() + byMs;
    while (this.fleet.clock.nowMs() < endAtMs) {
      await this.fleet.advance(STEP_MS);
      this.countReverts();
    }
  }

  private countReverts(): void {
    for (const { identity, rules } of this.fleet.daemons) {
      const lastRevision = this.lastRevisionById.get(identity.id) ?? 0;
      if (rules.revision < lastRevision) this.reverts += 1;
      this.lastRevisionById.set(identity.id, rules.revision);
    }
  }

  private minLivePeers(): number {
    const counts = this.fleet.daemons.map(
      daemon => daemon.service.status().livePeers,
    );
    return Math.min(...counts);
  }
}

/** Applies an edit in the daemon that accepted it, as the operators' call does. */
function applyEdit(
  daemon: SimulatedDaemon,
  version: number,
  text: string,
): void {
  daemon.rules.apply(createRulesEntry(text, version));
}

function sum(figures: readonly number[]): number {
  return figures.reduce((total, figure) => total + figure, 0);
}
