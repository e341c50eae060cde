import { setTimeout as delay } from 'node:timers/promises';

import {
  MAX_CELL_MEMBERS,
  MIN_DAEMONS_FOR_CELLS,
} from '@skylarkreach/core/membership';
import { SeededRandom } from '@skylarkreach/core/ports';
import { createRulesEntry } from '@skylarkreach/core/rules';

import type { SimulatedDaemon } from '../config/index.js';
import { SimulatedFleet } from '../config/index.js';
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportRow,
} from '../experiment/index.js';
import { fitLine, upperBoundTarget } from '../experiment/index.js';
import { LoopbackFleet } from './loopback-fleet.js';
import {
  buildIdentities,
  measureMembershipBytes,
} from './membership-memory.js';

const FULL_SIZE_DAEMONS = 2_300;
const FULL_SIZE_DATA_CENTRES = 16;
const CHANGES_PER_DAY = 12_000;
const SECONDS_PER_DAY = 86_400;
const CHANGE_INTERVAL_MS = Math.round(
  (SECONDS_PER_DAY * 1_000) / CHANGES_PER_DAY,
);

const DATA_CENTRES = 4;
const TRAFFIC_SIZES: readonly number[] = [9, 50, 256, 320];
const WARM_UP_MS = 20_000;
/** Largest fleet that is measured at several rates of rules edits. */
const MAX_RATE_SERIES_DAEMONS = 9;
const TRAFFIC_DURATION_MS = 14_400;

const CPU_SIZES: readonly number[] = [8, 24, 56];
const SETTLE_MS = 1_500;
const CPU_DURATION_MS = 3_000;

const MEMORY_SIZES: readonly number[] = [300, 1_200, FULL_SIZE_DAEMONS];
const RULE_LINES = 200;
const RULES_SEED = 11;

const MAX_CORE_PERCENT = 1.1;
const MAX_MEGABYTES = 128;
const MAX_BYTES_PER_SECOND = 4_000;

interface SizeFigure {
  readonly daemons: number;
  readonly figure: number;
}

/** Bytes per second of each daemon, split by whether it was a relay at the start or end of the run. */
interface TrafficFigures {
  readonly relayBytesPerSecond: readonly number[];
  readonly otherBytesPerSecond: readonly number[];
}

interface TrafficAtSize extends TrafficFigures {
  readonly daemons: number;
}

/** Measures the network traffic, CPU time and memory that membership and rules cost one daemon, by fleet size. */
export const controlExperiment: Experiment = {
  name: 'control',
  description: 'processor time, memory and bytes a second for control',
  run: runControl,
};

async function runControl(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const rows: ReportRow[] = [];
  const traffic = await measureTraffic(options, rows);
  const corePercent = await measureCpu(options.seed, rows);
  const megabytes = measureMemory(options.seed, rows);
  const multiCellTraffic = traffic.filter(
    size => size.daemons >= MIN_DAEMONS_FOR_CELLS,
  );
  const relays = Math.max(
    ...traffic.map(size => mean(size.relayBytesPerSecond)),
  );
  const others = extrapolate(
    FULL_SIZE_DAEMONS,
    multiCellTraffic.map(size => ({
      ...size,
      figure: mean(size.otherBytesPerSecond),
    })),
    rows,
    'bytes a second of a daemon that is no relay',
  );
  const fullCellCorePercent = extrapolate(
    MAX_CELL_MEMBERS,
    corePercent,
    rows,
    'percent of a core',
  );
  return {
    rows,
    targets: [
      upperBoundTarget(
        'bytes a second, busiest daemon that is no relay',
        Math.max(...traffic.flatMap(size => size.otherBytesPerSecond)),
        MAX_BYTES_PER_SECOND,
        '',
      ),
      upperBoundTarget(
        'bytes a second, daemon that is no relay, extrapolated to 2,300',
        others,
        MAX_BYTES_PER_SECOND,
        '',
      ),
      upperBoundTarget(
        'bytes a second, mean of the relays, most at any size',
        relays,
        MAX_BYTES_PER_SECOND,
        '',
      ),
      upperBoundTarget(
        'percent of a core in a full cell, the most that a daemon probes',
        fullCellCorePercent,
        MAX_CORE_PERCENT,
        '',
      ),
      upperBoundTarget(
        'megabytes at 2,300 daemons',
        megabytes,
        MAX_MEGABYTES,
        '',
      ),
    ],
  };
}

/** Measures the bytes that daemons send and receive at each fleet size, on a manual clock. */
async function measureTraffic(
  options: ExperimentOptions,
  rows: ReportRow[],
): Promise<readonly TrafficAtSize[]> {
  const figures: TrafficAtSize[] = [];
  const sizes = options.full
    ? [...TRAFFIC_SIZES, FULL_SIZE_DAEMONS]
    : TRAFFIC_SIZES;
  for (const daemons of sizes) {
    const isFullSize = daemons === FULL_SIZE_DAEMONS;
    const dataCentres = isFullSize ? FULL_SIZE_DATA_CENTRES : DATA_CENTRES;
    for (const changeRateFactor of daemons <= MAX_RATE_SERIES_DAEMONS
      ? [0, 10, 1]
      : [1]) {
      const bytes = await measureTrafficAtSize(
        daemons,
        dataCentres,
        changeRateFactor,
        options.seed,
      );
      rows.push({
        measure: 'bytes a second, sent and received',
        daemons,
        dataCentres,
        changesADay: changeRateFactor * CHANGES_PER_DAY,
        mean: mean([
          ...bytes.relayBytesPerSecond,
          ...bytes.otherBytesPerSecond,
        ]),
        meanRelay: mean(bytes.relayBytesPerSecond),
        meanOther: mean(bytes.otherBytesPerSecond),
        busiest: Math.max(
          ...bytes.relayBytesPerSecond,
          ...bytes.otherBytesPerSecond,
        ),
      });
      if (changeRateFactor === 1) figures.push({ daemons, ...bytes });
    }
  }
  return figures;
}

/** Returns the bytes per second of each daemon; `changeRateFactor` is a multiple of `CHANGES_PER_DAY`. */
async function measureTrafficAtSize(
  daemons: number,
  dataCentres: number,
  changeRateFactor: number,
  seed: number,
): Promise<TrafficFigures> {
  const fleet = new SimulatedFleet({ daemons, dataCentres, seed });
  await fleet.start(rulesText(1));
  await fleet.advance(WARM_UP_MS);
  fleet.traffic.reset();
  const startedAtMs = fleet.clock.nowMs();
  const relaysAtStart = new Set(fleet.daemons.filter(isRelay));
  const stepMs =
    changeRateFactor === 0
      ? TRAFFIC_DURATION_MS
      : CHANGE_INTERVAL_MS / changeRateFactor;
  let revision = 1;
  for (
    let elapsedMs = 0;
    elapsedMs < TRAFFIC_DURATION_MS;
    elapsedMs += stepMs
  ) {
    if (changeRateFactor > 0) {
      const text = rulesText(revision + 1);
      revision = await fleet.writeRules(text, revision);
      fleet.pickDaemon().rules.apply(createRulesEntry(text, revision));
    }
    await fleet.advance(stepMs);
  }
  const elapsedSeconds = (fleet.clock.nowMs() - startedAtMs) / 1_000;
  const rateOf = (daemon: SimulatedDaemon) =>
    fleet.traffic.bytesOf(daemon.identity.peerAddress) / elapsedSeconds;
  const wasRelay = (daemon: SimulatedDaemon) =>
    relaysAtStart.has(daemon) || isRelay(daemon);
  const relays = fleet.daemons.filter(wasRelay).map(rateOf);
  const others = fleet.daemons.filter(daemon => !wasRelay(daemon)).map(rateOf);
  fleet.stop();
  return { relayBytesPerSecond: relays, otherBytesPerSecond: others };
}

function isRelay(daemon: SimulatedDaemon): boolean {
  return daemon.service.status().relay;
}

/** Measures the CPU time of one daemon over loopback sockets, as a percentage of a core. */
async function measureCpu(
  seed: number,
  rows: ReportRow[],
): Promise<readonly SizeFigure[]> {
  const figures: SizeFigure[] = [];
  for (const daemons of CPU_SIZES) {
    const fleet = new LoopbackFleet(daemons, DATA_CENTRES, seed);
    await fleet.start(rulesText(1));
    await delay(SETTLE_MS);
    const before = process.cpuUsage();
    await fleet.changeRules(rulesText(2));
    await delay(CPU_DURATION_MS);
    const used = process.cpuUsage(before);
    await fleet.stop();
    const usedMs = (used.user + used.system) / 1_000;
    const figure = (usedMs / CPU_DURATION_MS / daemons) * 100;
    figures.push({ daemons, figure });
    rows.push({ measure: 'percent of a core', daemons, mean: figure });
  }
  return figures;
}

/** Returns the megabytes of one daemon's membership state, daemon list and rules. */
function measureMemory(seed: number, rows: ReportRow[]): number {
  let stateMegabytes = 0;
  for (const daemons of MEMORY_SIZES) {
    const bytes = measureMembershipBytes(daemons, FULL_SIZE_DATA_CENTRES, seed);
    stateMegabytes = bytes / 1_000_000;
    rows.push({
      measure: 'megabytes of membership state',
      daemons,
      dataCentres: FULL_SIZE_DATA_CENTRES,
      mean: stateMegabytes,
    });
  }
  const listBytes = JSON.stringify(
    buildIdentities(FULL_SIZE_DAEMONS, FULL_SIZE_DATA_CENTRES),
  ).length;
  const total = stateMegabytes + (listBytes + rulesText(1).length) / 1_000_000;
  rows.push({
    measure: 'megabytes of state, list and rules',
    daemons: FULL_SIZE_DAEMONS,
    mean: total,
  });
  return total;
}

/** Extrapolates linearly from the measured sizes to `daemons`. */
function extrapolate(
  daemons: number,
  figures: readonly SizeFigure[],
  rows: ReportRow[],
  measure: string,
): number {
  const line = fitLine(
    figures.map(point => ({ x: point.daemons, y: point.figure })),
  );
  const figure = line.intercept + line.slope * daemons;
  rows.push({
    measure: `${measure}: slope a daemon, and extrapolation`,
    daemons,
    slope: line.slope,
    mean: figure,
  });
  return figure;
}

/** Generates rules like those of operators: no two lines share a workspace or a comment. */
function rulesText(revision: number): string {
  const random = new SeededRandom(RULES_SEED);
  const name = () => random.nextInteger(2 ** 32).toString(16);
  const lines = Array.from(
    { length: RULE_LINES },
    () =>
      `workspace=w-${name()} kind=* target=ruling-model deadline=2m # ${name()} ${name()}`,
  );
  return [...lines, `# revision ${revision}`, ''].join('\n');
}

function mean(figures: readonly number[]): number {
  return figures.reduce((total, figure) => total + figure, 0) / figures.length;
}
