import { randomUUID } from 'node:crypto';

import type {
  MoveController,
  MoveRegistry,
  MoveRequest,
  MoveSpec,
  MoveStarter,
  StartMoveResult,
} from '@skylarkreach/core/moves';
import {
  MoveLineError,
  MoveState,
  parseMoveLine,
  StartMoveOutcome,
} from '@skylarkreach/core/moves';
import type { Clock } from '@skylarkreach/core/ports';
import type { Rule, RuleStore } from '@skylarkreach/core/rules';
import { RepeatPolicy } from '@skylarkreach/core/rules';

import type {
  OperatorAnswer,
  OperatorCall,
  OperatorServer,
} from './operator-server.js';
import { failure, ok } from './operator-server.js';

const CALL_TIMEOUT_MS = 5_000;

/** Name of the moving kinds where a rule takes every kind. */
const ANY_KIND_REMEDY =
  'Name the kinds in the line with kinds=KIND,KIND; a rule of the group takes every kind.';

export interface MoveCallParts {
  readonly board: MoveRegistry;
  readonly starter: MoveStarter;
  readonly rules: RuleStore;
  readonly clock: Clock;
  /** Tells every live daemon of the group's record. */
  readonly announce: (group: string) => Promise<void>;
  /** Requests of each kind of a group a second over all daemons, estimated. */
  readonly kindRates: (group: string) => ReadonlyMap<string, number>;
}

const STATUS_OF_OUTCOME: Record<StartMoveOutcome, number> = {
  [StartMoveOutcome.Started]: 200,
  [StartMoveOutcome.GroupBusy]: 409,
  [StartMoveOutcome.Unavailable]: 503,
  [StartMoveOutcome.Unknown]: 502,
};

const REMEDY_OF_OUTCOME: Partial<Record<StartMoveOutcome, [string, string]>> = {
  [StartMoveOutcome.GroupBusy]: [
    'The group has a move that has not ended.',
    'Wait for its end with "moves wait", or stop it with "moves stop".',
  ],
  [StartMoveOutcome.Unavailable]: [
    'The key-value service gives no answer; no move was started.',
    'Start the move when it is back.',
  ],
  [StartMoveOutcome.Unknown]: [
    'The answer of the key-value service was lost; the move may have started.',
    'Look with "moves show" before you start it again.',
  ],
};

/** Adds the operators' calls that start, show and stop version moves. */
export function addMoveCalls(
  server: OperatorServer,
  parts: MoveCallParts,
): void {
  const { board, clock } = parts;
  server.add('GET', '/v1/moves', () =>
    ok({ moves: board.controllers().map(each => view(each, clock.nowMs())) }),
  );
  server.add('POST', '/v1/moves', call => startMove(call, parts));
  server.add('DELETE', '/v1/moves/{group}', ({ params }) => {
    const controller = board.find(params.group ?? '');
    if (controller?.record.state !== MoveState.Running) {
      return Promise.resolve(
        failure(404, 'The group has no move under way.', 'See "moves show".'),
      );
    }
    controller.stop(clock.nowMs());
    return ok(view(controller, clock.nowMs()));
  });
}

function view(controller: MoveController, nowMs: number) {
  const { rollbackDecision: brake, record } = controller;
  const shares = record.spec.kinds.map(kind => ({
    kind,
    sharePercent: controller.share(kind, nowMs) * 100,
  }));
  return { ...record, brake, shares };
}

async function startMove(
  call: OperatorCall,
  parts: MoveCallParts,
): Promise<OperatorAnswer> {
  const { clock, kindRates, rules, starter } = parts;
  const request = readLine(call.body);
  if (request instanceof MoveLineError) {
    return failure(400, request.message, 'See "moves start --help".');
  }
  if (request.deadlineAtMs <= clock.nowMs()) {
    return failure(400, 'The deadline has passed.', 'Set a later deadline.');
  }
  const spec = toSpec(request, rules.all(), clock.nowMs());
  if (spec === undefined) {
    return failure(
      400,
      `No kinds of group ${request.group} are known.`,
      ANY_KIND_REMEDY,
    );
  }
  const rates = kindRates(spec.group);
  const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
  const result = await starter.start(spec, rates, deadlineAtMs);
  if (result.entry !== undefined) {
    parts.board.applyEntry(result.entry, clock.nowMs());
    await parts.announce(spec.group);
  }
  return toAnswer(result);
}

function readLine(line: string): MoveRequest | MoveLineError {
  try {
    return parseMoveLine(line);
  } catch (error) {
    if (error instanceof MoveLineError) return error;
    throw error;
  }
}

/** The move with its kinds, those that may not be repeated marked as cautious. */
function toSpec(
  request: MoveRequest,
  rules: readonly Rule[],
  nowMs: number,
): MoveSpec | undefined {
  const ofGroup = rules.filter(rule => rule.group === request.group);
  const ruleKinds = ofGroup.flatMap(rule => rule.kind ?? []);
  const kinds = [...new Set(request.kinds ?? ruleKinds)];
  if (kinds.length === 0) return undefined;
  const mayRepeat = (kind: string) =>
    ofGroup
      .filter(rule => rule.kind === undefined || rule.kind === kind)
      .every(rule => rule.repeat === RepeatPolicy.Repeatable);
  return {
    moveId: randomUUID(),
    group: request.group,
    fromVersion: request.fromVersion,
    toVersion: request.toVersion,
    kinds,
    cautiousKinds: kinds.filter(kind => !mayRepeat(kind)),
    startedAtMs: nowMs,
    deadlineAtMs: request.deadlineAtMs,
    reason: request.reason,
  };
}

function toAnswer(result: StartMoveResult): OperatorAnswer {
  const [message, remedy] = REMEDY_OF_OUTCOME[result.outcome] ?? [];
  return {
    status: STATUS_OF_OUTCOME[result.outcome],
    body: { ...result, entry: undefined, message, remedy },
  };
}
