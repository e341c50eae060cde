import { setTimeout as delay } from 'node:timers/promises';

import { z } from 'zod';

import type { OperatorClient } from './operator-client.js';
import { CliError, CliExitCode } from './operator-client.js';
import type { CommonOptions } from './output.js';
import { confirm, printResult } from './output.js';

const POLL_INTERVAL_MS = 1_000;

/** Time after its deadline that a move's end may take to be written. */
const REPORT_TIME_MS = 300_000;

const moveSchema = z.object({
  state: z.enum(['running', 'done', 'takenBack']),
  spec: z.object({
    moveId: z.string(),
    group: z.string(),
    fromVersion: z.string(),
    toVersion: z.string(),
    deadlineAtMs: z.number(),
    reason: z.string(),
  }),
  shares: z.array(z.object({ kind: z.string(), sharePercent: z.number() })),
  ending: z
    .object({
      endedAtMs: z.number(),
      reason: z.string().optional(),
      newRequests: z.number(),
      unprovedKinds: z.array(z.string()),
      finding: z
        .object({
          kind: z.string().optional(),
          signal: z.string(),
          newCount: z.number(),
          newEvents: z.number(),
          oldCount: z.number(),
          oldEvents: z.number(),
        })
        .optional(),
    })
    .optional(),
});
const movesSchema = z.object({ moves: z.array(moveSchema) });
const startedSchema = z.object({
  warnings: z.array(z.string()),
  record: z.object({ spec: z.object({ group: z.string() }) }),
});

type Move = z.output<typeof moveSchema>;

/** Exit code of `moves wait` for a move that was taken back. */
export const TAKEN_BACK_EXIT_CODE = 4;

/** Shows the newest move of every group. */
export async function showMoves(
  client: OperatorClient,
  options: CommonOptions,
): Promise<void> {
  const moves = await readMoves(client);
  const text =
    moves.length === 0
      ? 'No move is recorded.'
      : moves.map(describeMove).join('\n');
  printResult(options, { moves }, text);
}

/** Starts a move by its line. */
export async function startMove(
  client: OperatorClient,
  line: string,
  options: CommonOptions,
): Promise<void> {
  const answer = await client.callOk('POST', '/v1/moves', line);
  const { record, warnings } = startedSchema.parse(answer);
  for (const warning of warnings) console.error(`Warning: ${warning}`);
  const text = `The move of group ${record.spec.group} has started.`;
  printResult(options, answer, text);
}

/** Takes a running move back, after a question. */
export async function stopMove(
  client: OperatorClient,
  group: string,
  options: CommonOptions,
): Promise<void> {
  const question = `Take the move of group ${group} back?`;
  if (!(await confirm(options, question))) {
    throw new CliError(
      'Nothing was changed; add --yes to stop a move without a question.',
      CliExitCode.Refused,
    );
  }
  const path = `/v1/moves/${encodeURIComponent(group)}`;
  const answer = await client.callOk('DELETE', path);
  printResult(options, answer, `The move of group ${group} is taken back.`);
}

/** Waits for a move's end; exit 0 where it is done, 4 where it was taken back. */
export async function waitForMove(
  client: OperatorClient,
  group: string,
  options: CommonOptions,
): Promise<void> {
  for (;;) {
    const moves = await readMoves(client);
    const move = moves.find(each => each.spec.group === group);
    if (move === undefined) {
      throw new CliError(
        `Group ${group} has no move; see "moves show".`,
        CliExitCode.Refused,
      );
    }
    if (move.state !== 'running') {
      if (move.state === 'takenBack') process.exitCode = TAKEN_BACK_EXIT_CODE;
      printResult(options, move, describeMove(move));
      return;
    }
    if (Date.now() > move.spec.deadlineAtMs + REPORT_TIME_MS) {
      throw new CliError(
        `The end of the move of group ${group} is not written yet; the old version serves. Ask again when the key-value service is back.`,
        CliExitCode.Refused,
      );
    }
    await delay(POLL_INTERVAL_MS);
  }
}

async function readMoves(client: OperatorClient): Promise<readonly Move[]> {
  return movesSchema.parse(await client.callOk('GET', '/v1/moves')).moves;
}

function describeMove(move: Move): string {
  const { ending, shares, spec, state } = move;
  const lines = [
    `${spec.group}: ${spec.fromVersion} to ${spec.toVersion}, ${state}, deadline ${new Date(spec.deadlineAtMs).toISOString()} (${spec.reason})`,
  ];
  if (state === 'running') {
    const texts = shares.map(
      each => `${each.kind} ${each.sharePercent.toFixed(0)}%`,
    );
    lines.push(`  shares: ${texts.join(', ')}`);
  }
  if (ending === undefined) return lines.join('\n');
  lines.push(
    `  ended ${new Date(ending.endedAtMs).toISOString()}, ${ending.newRequests} requests on the new version${ending.reason === undefined ? '' : `, reason: ${ending.reason}`}`,
  );
  const { finding, unprovedKinds } = ending;
  if (finding !== undefined) {
    lines.push(
      `  evidence: ${finding.signal} on ${finding.kind ?? 'all kinds'}, new ${finding.newEvents} of ${finding.newCount}, old ${finding.oldEvents} of ${finding.oldCount}`,
    );
  }
  if (unprovedKinds.length > 0) {
    lines.push(`  not proved by themselves: ${unprovedKinds.join(', ')}`);
  }
  return lines.join('\n');
}
