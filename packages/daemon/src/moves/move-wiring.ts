import type { MoveRegistry } from '@skylarkreach/core/moves';
import {
  MoveRunner,
  MoveStarter,
  registerMovePeerHandlers,
} from '@skylarkreach/core/moves';
import type {
  Clock,
  DaemonIdentity,
  KeyValue,
  Log,
  Metrics,
  Peer,
  PeerRegistry,
  StateSource,
} from '@skylarkreach/core/ports';
import { LogPart } from '@skylarkreach/core/ports';
import type { RuleStore } from '@skylarkreach/core/rules';

import { Loop } from '../loops/index.js';
import type { OperatorServer } from '../operators/index.js';
import { addMoveCalls } from '../operators/index.js';
import type { KindRateMeter } from './kind-rate-meter.js';

const STEP_INTERVAL_MS = 1_000;

export interface MoveWiringParts {
  readonly self: DaemonIdentity;
  readonly board: MoveRegistry;
  readonly rates: KindRateMeter;
  readonly clock: Clock;
  readonly keyValue: KeyValue;
  readonly peer: Peer;
  readonly registry: PeerRegistry;
  readonly operators: OperatorServer;
  readonly rules: RuleStore;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Live daemons, this one included. */
  readonly liveDaemons: () => readonly DaemonIdentity[];
}

/** Version moves of one daemon. */
export interface MoveWiring {
  readonly loops: readonly Loop[];
  readonly source: StateSource;
  /** Reads the records and asks peers for brakes, as far as they answer. */
  readonly prime: () => Promise<void>;
}

/** Builds a daemon's part in version moves. */
export function wireMoves(parts: MoveWiringParts): MoveWiring {
  const { board, clock, keyValue, liveDaemons, log } = parts;
  const { operators, rates, registry } = parts;
  const runner = new MoveRunner(parts);
  registerMovePeerHandlers(registry, board, clock);
  addMoveCalls(operators, {
    board,
    announce: group => runner.announceRecord(group),
    clock,
    rules: parts.rules,
    starter: new MoveStarter(keyValue, clock),
    kindRates: group => rates.ratesOf(group, liveDaemons().length),
  });
  const loop = (name: string, step: () => Promise<void>) =>
    new Loop(
      {
        name,
        part: LogPart.Moves,
        nextAtMs: nowMs => nowMs + STEP_INTERVAL_MS,
        step,
      },
      clock,
      log,
    );
  return {
    loops: [
      loop('move records', () => runner.readRecords()),
      loop('moves', () => runner.step()),
    ],
    source: {
      name: 'moves',
      dumpState: () => ({
        records: board.controllers().map(each => each.record),
        brakes: board.rollbackDecisions(),
      }),
    },
    prime: async () => {
      await Promise.allSettled([runner.readRecords(), runner.fetchRollbacks()]);
    },
  };
}
