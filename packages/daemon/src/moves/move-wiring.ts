import type { MoveRegistry } from '@skylarkreach/core/moves';
import {
  MoveRunner,
  MoveStarter,
  registerMovePeerHandlers,
} from '@skylarkreach/core/moves';
import type {
  Clock,
  DaemonIdentity,
  KeyValueStore,
  Log,
  Metrics,
  PeerClient,
  PeerRegistry,
  StateSource,
} from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';
import type { RuleStore } from '@skylarkreach/core/rules';

import { Loop } from '../loops/index.js';
import type { OperatorServer } from '../operators/index.js';
import { addMoveRoutes } from '../operators/index.js';
import type { KindRateMeter } from './kind-rate-meter.js';

const STEP_INTERVAL_MS = 1_000;

export interface MoveWiringDependencies {
  readonly self: DaemonIdentity;
  readonly board: MoveRegistry;
  readonly rateMeter: KindRateMeter;
  readonly clock: Clock;
  readonly keyValue: KeyValueStore;
  readonly peer: PeerClient;
  readonly registry: PeerRegistry;
  readonly operators: OperatorServer;
  readonly rules: RuleStore;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Live daemons, this one included. */
  readonly liveDaemons: () => readonly DaemonIdentity[];
}

/** Components of a daemon that take part in version moves. */
export interface MoveWiring {
  readonly loops: readonly Loop[];
  readonly stateSource: StateSource;
  /** Reads the records and asks peers for brakes; a read that fails is skipped. */
  readonly loadInitialState: () => Promise<void>;
}

/** Creates a daemon's components for version moves and connects them. */
export function wireMoves(deps: MoveWiringDependencies): MoveWiring {
  const { board, clock, keyValue, liveDaemons, log } = deps;
  const { operators, rateMeter: rates, registry } = deps;
  const runner = new MoveRunner(deps);
  registerMovePeerHandlers(registry, board, clock);
  addMoveRoutes(operators, {
    board,
    announce: group => runner.announceRecord(group),
    clock,
    rules: deps.rules,
    starter: new MoveStarter(keyValue, clock),
    kindRates: group => rates.estimateClusterRates(group, liveDaemons().length),
  });
  const loop = (name: string, step: () => Promise<void>) =>
    new Loop(
      {
        name,
        part: LogComponent.Moves,
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
    stateSource: {
      name: 'moves',
      dumpState: () => ({
        records: board.controllers().map(controller => controller.record),
        brakes: board.rollbackDecisions(),
      }),
    },
    loadInitialState: async () => {
      await Promise.allSettled([runner.readRecords(), runner.fetchRollbacks()]);
    },
  };
}
