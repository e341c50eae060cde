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
  OperatorRequest,
  OperatorResponse,
  OperatorServer,
} from './operator-server.js';
import { failure, ok } from './operator-server.js';

const CALL_TIMEOUT_MS = 5_000;

/** Remedy where the kinds cannot be read from the rules, as the group's rules match every kind. */
const KINDS_REQUIRED_REMEDY =
  'Name the kinds in the line with kinds=KIND,KIND; the rules of the group name none.';

export interface MoveRouteDependencies {
  readonly board: MoveRegistry;
  readonly starter: MoveStarter;
  readonly rules: RuleStore;
  readonly clock: Clock;
  /** Sends the group's record to every live daemon. */
  readonly announce: (group: string) => Promise<void>;
  /** Returns the estimated requests per second of each kind of a group, over all daemons. */
  readonly kindRates: (group: string) => ReadonlyMap<string, number>;
}

/** HTTP status of each outcome of a start. */
const STATUS_BY_OUTCOME: Record<StartMoveOutcome, number> = {
  [StartMoveOutcome.Started]: 200,
  [StartMoveOutcome.GroupBusy]: 409,
  [StartMoveOutcome.Unavailable]: 503,
  [StartMoveOutcome.Unknown]: 502,
};

/** Message and remedy of each outcome that is a failure. */
const FAILURE_BY_OUTCOME: Partial<Record<StartMoveOutcome, [string, string]>> =
  {
    [StartMoveOutcome.GroupBusy]: [
      'Another move of the group is in progress.',
      'Wait until it ends with "moves wait", or stop it with "moves stop".',
    ],
    [StartMoveOutcome.Unavailable]: [
      'The key-value service does not respond; no move was started.',
      'Retry the command when the service is available.',
    ],
    [StartMoveOutcome.Unknown]: [
      'The response of the key-value service was lost; the move may have started.',
      'Check with "moves show" before you start it again.',
    ],
  };

/** Adds the operators' routes that list, start and stop version moves. */
export function addMoveRoutes(
  server: OperatorServer,
  deps: MoveRouteDependencies,
): void {
  const { board, clock } = deps;
  server.addRoute('GET', '/v1/moves', () =>
    ok({
      moves: board
        .controllers()
        .map(controller => toMoveView(controller, clock.nowMs())),
    }),
  );
  server.addRoute('POST', '/v1/moves', request => startMove(request, deps));
  server.addRoute('DELETE', '/v1/moves/{group}', ({ params }) => {
    const controller = board.find(params.group ?? '');
    if (controller?.record.state !== MoveState.Running) {
      return Promise.resolve(
        failure(404, 'The group has no move in progress.', 'See "moves show".'),
      );
    }
    controller.stop(clock.nowMs());
    return ok(toMoveView(controller, clock.nowMs()));
  });
}

function toMoveView(controller: MoveController, nowMs: number) {
  const { rollbackDecision: brake, record } = controller;
  const shares = record.spec.kinds.map(kind => ({
    kind,
    sharePercent: controller.share(kind, nowMs) * 100,
  }));
  return { ...record, brake, shares };
}

async function startMove(
  operatorRequest: OperatorRequest,
  deps: MoveRouteDependencies,
): Promise<OperatorResponse> {
  const { clock, kindRates, rules, starter } = deps;
  const request = tryParseMoveLine(operatorRequest.body);
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
      `The kinds of group ${request.group} are unknown.`,
      KINDS_REQUIRED_REMEDY,
    );
  }
  const rates = kindRates(spec.group);
  const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
  const result = await starter.start(spec, rates, deadlineAtMs);
  if (result.entry !== undefined) {
    deps.board.applyEntry(result.entry, clock.nowMs());
    await deps.announce(spec.group);
  }
  return toResponse(result);
}

function tryParseMoveLine(line: string): MoveRequest | MoveLineError {
  try {
    return parseMoveLine(line);
  } catch (error) {
    if (error instanceof MoveLineError) return error;
    throw error;
  }
}

/**
 * Returns the specification of a move, or undefined where no kinds are known.
 * Kinds whose requests may not be repeated are marked as cautious.
 */
function toSpec(
  request: MoveRequest,
  rules: readonly Rule[],
  nowMs: number,
): MoveSpec | undefined {
  const groupRules = rules.filter(rule => rule.group === request.group);
  const ruleKinds = groupRules.flatMap(rule => rule.kind ?? []);
  const kinds = [...new Set(request.kinds ?? ruleKinds)];
  if (kinds.length === 0) return undefined;
  const isRepeatable = (kind: string) =>
    groupRules
      .filter(rule => rule.kind === undefined || rule.kind === kind)
      .every(rule => rule.repeat === RepeatPolicy.Repeatable);
  return {
    moveId: randomUUID(),
    group: request.group,
    fromVersion: request.fromVersion,
    toVersion: request.toVersion,
    kinds,
    cautiousKinds: kinds.filter(kind => !isRepeatable(kind)),
    startedAtMs: nowMs,
    deadlineAtMs: request.deadlineAtMs,
    reason: request.reason,
  };
}

function toResponse(result: StartMoveResult): OperatorResponse {
  const [message, remedy] = FAILURE_BY_OUTCOME[result.outcome] ?? [];
  return {
    status: STATUS_BY_OUTCOME[result.outcome],
    body: { ...result, entry: undefined, message, remedy },
  };
}
