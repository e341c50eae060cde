import type { EvidenceReport, MoveSpec } from '@skylarkreach/core/moves';
import { createMoveRecord, MoveController } from '@skylarkreach/core/moves';

import type { Probe } from './probe.js';
import { minStepMicros } from './probe.js';

const DAEMON_COUNTS = [9, 50, 150, 300];
const KIND_COUNTS = [2, 4, 8, 16];
const SIMULATED_SECONDS = 20;

/** Time that a coordinator spends per second of one move, by number of daemons. */
export const moveCoordinatorProbe: Probe = {
  name: 'move coordinator',
  unit: 'µs a second a daemon',
  sizeName: 'daemons',
  run: () =>
    Promise.resolve(
      DAEMON_COUNTS.map(x => ({
        x,
        y: coordinatorMicros(x) / SIMULATED_SECONDS,
      })),
    ),
};

/** Size of one evidence report in bytes, by number of request kinds. */
export const moveReportProbe: Probe = {
  name: 'move report',
  unit: 'bytes a report a kind',
  sizeName: 'kinds',
  run: () =>
    Promise.resolve(
      KIND_COUNTS.map(x => {
        const report = createReport('daemon-1', 1, createKindNames(x));
        return { x, y: Buffer.byteLength(JSON.stringify(report)) };
      }),
    ),
};

function coordinatorMicros(daemons: number): number {
  const kinds = createKindNames(7);
  const ids = Array.from({ length: daemons }, (_, index) => `daemon-${index}`);
  const context = {
    holdsLease: false,
    coordinates: true,
    liveDaemonIds: ids,
  };
  return minStepMicros(() => {
    const record = createMoveRecord(createSpec(kinds));
    const controller = new MoveController('daemon-0', record, 1, 0);
    for (let second = 1; second <= SIMULATED_SECONDS; second += 1) {
      const nowMs = second * 1_000;
      for (const id of ids)
        controller.applyReport(createReport(id, nowMs, kinds));
      controller.recordContact(nowMs);
      controller.tick(nowMs, context);
    }
  }, 3);
}

function createKindNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `kind-${index}`);
}

function createSpec(kinds: string[]): MoveSpec {
  return {
    moveId: 'move-1',
    group: 'ruling-model',
    fromVersion: 'v1',
    toVersion: 'v2',
    kinds,
    cautiousKinds: [],
    startedAtMs: 0,
    deadlineAtMs: 900_000,
    reason: 'operations, newer weights',
  };
}

function createReport(
  daemonId: string,
  nowMs: number,
  kinds: readonly string[],
): EvidenceReport {
  const block = { newCount: 4, newEvents: 0, oldCount: 8, oldEvents: 1 };
  return {
    moveId: 'move-1',
    group: 'ruling-model',
    daemonId,
    sequence: nowMs,
    reportedAtMs: nowMs,
    kinds: kinds.map(kind => ({
      kind,
      failure: block,
      slowFirstToken: block,
      slowTokens: block,
    })),
  };
}
