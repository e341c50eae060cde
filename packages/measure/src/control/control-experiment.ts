import { setTimeout as delay } from 'node:timers/promises';

import { MAX_CELL_MEMBERS } from '@skylarkreach/core/membership';
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
import { atMost, fitLine } from '../experiment/index.js';
import { listedDaemons, measureMembershipBytes } from './footprint.js';
import { SocketGroup } from './socket-group.js';

const FULL_SIZE_DAEMONS = 2_300;
const FULL_SIZE_DATA_CENTRES = 16;
const CHANGES_A_DAY = 12_000;
const SECONDS_A_DAY = 86_400;
const CHANGE_INTERVAL_MS = Math.round((SECONDS_A_DAY * 1_000) / CHANGES_A_DAY);

const DATA_CENTRES = 4;
const TRAFFIC_SIZES: readonly number[] = [9, 50, 150, 300];
const WARM_UP_MS = 20_000;
/** Largest size that is measured at several rates of changes. */
const MAX_CHANGE_SERIES = 9;
/** Sizes from here on have several cells in each data centre. */
const SEVERAL_CELLS = 150;
const TRAFFIC_MS = 14_400;

const PROCESSOR_SIZES: readonly number[] = [8, 24, 56];
const SETTLE_MS = 1_500;
const PROCESSOR_MS = 3_000;

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

/** Bytes a second of each daemon, by whether it was a relay at either end of the run. */
interface TrafficFigures {
  readonly relays: readonly number[];
  readonly others: readonly number[];
}

interface TrafficAtSize extends TrafficFigures {
  readonly daemons: number;
}

/** What control costs one daemon: bytes, processor time and memory, by size. */
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
  const corePercent = await measureProcessor(options.seed, rows);
  const megabytes = measureMemory(options.seed, rows);
  const several = traffic.filter(each => each.daemons >= SEVERAL_CELLS);
  const relays = Math.max(...traffic.map(each => mean(each.relays)));
  const others = atSize(
    FULL_SIZE_DAEMONS,
    several.map(each => ({ ...each, figure: mean(each.others) })),
    rows,
    'bytes a second of a daemon that is no relay',
  );
  const fullCore = atSize(
    MAX_CELL_MEMBERS,
    corePercent,
    rows,
    'percent of a core',
  );
  return {
    rows,
    targets: [
      atMost(
        'bytes a second, busiest daemon that is no relay',
        Math.max(...traffic.flatMap(each => each.others)),
        MAX_BYTES_PER_SECOND,
        '',
      ),
      atMost(
        'bytes a second, daemon that is no relay, extrapolated to 2,300',
        others,
        MAX_BYTES_PER_SECOND,
        '',
      ),
      atMost(
        'bytes a second, mean of the relays, most at any size',
        relays,
        MAX_BYTES_PER_SECOND,
        '',
      ),
      atMost(
        'percent of a core in a full cell, the most that a daemon probes',
        fullCore,
        MAX_CORE_PERCENT,
        '',
      ),
      atMost('megabytes at 2,300 daemons', megabytes, MAX_MEGABYTES, ''),
    ],
  };
}

/** Bytes sent and received by the busiest daemon of each size, on a manual clock. */
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
    for (const changes of daemons <= MAX_CHANGE_SERIES ? [0, 10, 1] : [1]) {
      const bytes = await trafficOf(
        daemons,
        dataCentres,
        changes,
        options.seed,
      );
      rows.push({
        measure: 'bytes a second, sent and received',
        daemons,
        dataCentres,
        changesADay: changes * CHANGES_A_DAY,
        mean: mean([...bytes.relays, ...bytes.others]),
        meanRelay: mean(bytes.relays),
        meanOther: mean(bytes.others),
        busiest: Math.max(...bytes.relays, ...bytes.others),
      });
      if (changes === 1) figures.push({ daemons, ...bytes });
    }
  }
  return figures;
}

/** Bytes a second of each daemon; `changes` is a multiple of the expected rate. */
async function trafficOf(
  daemons: number,
  dataCentres: number,
  changes: number,
  seed: number,
): Promise<TrafficFigures> {
  const fleet = new SimulatedFleet({ daemons, dataCentres, seed });
  await fleet.start(rulesText(1));
  await fleet.advance(WARM_UP_MS);
  fleet.traffic.reset();
  const startedAtMs = fleet.clock.nowMs();
  const relaysAtStart = new Set(fleet.daemons.filter(isRelay));
  const stepMs = changes === 0 ? TRAFFIC_MS : CHANGE_INTERVAL_MS / changes;
  let revision = 1;
  for (let elapsedMs = 0; elapsedMs < TRAFFIC_MS; elapsedMs += stepMs) {
    if (changes > 0) {
      const text = rulesText(revision + 1);
      revision = await fleet.write(text, revision);
      fleet.pick().rules.apply(createRulesEntry(text, revision));
    }
    await fleet.advance(stepMs);
  }
  const elapsedSeconds = (fleet.clock.nowMs() - startedAtMs) / 1_000;
  const rateOf = (daemon: SimulatedDaemon) =>
    fleet.traffic.bytesOf(daemon.identity.peerAddress) / elapsedSeconds;
  const wasRelay = (each: SimulatedDaemon) =>
    relaysAtStart.has(each) || isRelay(each);
  const relays = fleet.daemons.filter(wasRelay).map(rateOf);
  const others = fleet.daemons.filter(each => !wasRelay(each)).map(rateOf);
  fleet.stop();
  return { relays, others };
}

function isRelay(daemon: SimulatedDaemon): boolean {
  return daemon.service.status().relay;
}

/** Processor time of one daemon over real sockets, as percent of a core. */
async function measureProcessor(
  seed: number,
  rows: ReportRow[],
): Promise<readonly SizeFigure[]> {
  const figures: SizeFigure[] = [];
  for (const daemons of PROCESSOR_SIZES) {
    const group = new SocketGroup(daemons, DATA_CENTRES, seed);
    await group.start(rulesText(1));
    await delay(SETTLE_MS);
    const before = process.cpuUsage();
    await group.change(rulesText(2));
    await delay(PROCESSOR_MS);
    const used = process.cpuUsage(before);
    await group.stop();
    const usedMs = (used.user + used.system) / 1_000;
    const figure = (usedMs / PROCESSOR_MS / daemons) * 100;
    figures.push({ daemons, figure });
    rows.push({ measure: 'percent of a core', daemons, mean: figure });
  }
  return figures;
}

/** Memory of one daemon's control: the runtime's own and the state for the list, in megabytes. */
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
    listedDaemons(FULL_SIZE_DAEMONS, FULL_SIZE_DATA_CENTRES),
  ).length;
  const total = stateMegabytes + (listBytes + rulesText(1).length) / 1_000_000;
  rows.push({
    measure: 'megabytes of state, list and rules',
    daemons: FULL_SIZE_DAEMONS,
    mean: total,
  });
  return total;
}

/** Extrapolates by a line through the sizes that were measured. */
function atSize(
  daemons: number,
  figures: readonly SizeFigure[],
  rows: ReportRow[],
  measure: string,
): number {
  const line = fitLine(
    figures.map(each => ({ x: each.daemons, y: each.figure })),
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

/** Rules as operators write them: no two lines share a workspace or a remark. */
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
  return figures.reduce((total, each) => total + each, 0) / figures.length;
}
