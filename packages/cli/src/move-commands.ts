import { setTimeout as delay } from 'node:timers/promises';

import { z } from 'zod';

import type { OperatorClient } from './operator-client.js';
import { CliError, CliExitCode } from './operator-client.js';
import type { CommonOptions } from './output.js';
import { confirm, printResult } from './output.js';

const POLL_INTERVAL_MS = 1_000;

/** Maximum time between the deadline of a move and the record of its outcome. */
const RECORDING_GRACE_MS = 300_000;

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
const startResultSchema = z.object({
  warnings: z.array(z.string()),
  record: z.object({ spec: z.object({ group: z.string() }) }),
});

type Move = z.output<typeof moveSchema>;

/** Exit code of `moves wait` for a move that was rolled back. */
export const ROLLED_BACK_EXIT_CODE = 4;

/** Prints the latest move of each group. */
export async function showMoves(
  client: OperatorClient,
  options: CommonOptions,
): Promise<void> {
  const moves = await fetchMoves(client);
  const text =
    moves.length === 0
      ? 'No move is recorded.'
      : moves.map(describeMove).join('\n');
  printResult(options, { moves }, text);
}

/** Starts the move that `line` describes, and prints warnings about it. */
export async function startMove(
  client: OperatorClient,
  line: string,
  options: CommonOptions,
): Promise<void> {
  const body = await client.callOrThrow('POST', '/v1/moves', line);
  const { record, warnings } = startResultSchema.parse(body);
  for (const warning of warnings) console.error(`Warning: ${warning}`);
  const text = `The move of group ${record.spec.group} has started.`;
  printResult(options, body, text);
}

/** Rolls a running move back, after confirmation. */
export async function stopMove(
  client: OperatorClient,
  group: string,
  options: CommonOptions,
): Promise<void> {
  const question = `Roll back the move of group ${group}?`;
  if (!(await confirm(options, question))) {
    throw new CliError(
      'Nothing was changed; add --yes to stop a move without confirmation.',
      CliExitCode.Refused,
    );
  }
  const path = `/v1/moves/${encodeURIComponent(group)}`;
  const body = await client.callOrThrow('DELETE', path);
  printResult(options, body, `The move of group ${group} is rolled back.`);
}

/** Polls until a move ends; sets exit code 0 where it is done, 4 where it was rolled back. */
export async function waitForMove(
  client: OperatorClient,
  group: string,
  options: CommonOptions,
): Promise<void> {
  for (;;) {
    const moves = await fetchMoves(client);
    const move = moves.find(candidate => candidate.spec.group === group);
    if (move === undefined) {
      throw new CliError(
        `Group ${group} has no move; run "moves show" to list the moves.`,
        CliExitCode.Refused,
      );
    }
    if (move.state !== 'running') {
      if (move.state === 'takenBack') process.exitCode = ROLLED_BACK_EXIT_CODE;
      printResult(options, move, describeMove(move));
      return;
    }
    if (Date.now() > move.spec.deadlineAtMs + RECORDING_GRACE_MS) {
      throw new CliError(
        `The outcome of the move of group ${group} is not recorded yet; the old version serves its requests. Run the command again when the key-value service is available.`,
        CliExitCode.Refused,
      );
    }
    await delay(POLL_INTERVAL_MS);
  }
}

async function fetchMoves(client: OperatorClient): Promise<readonly Move[]> {
  return movesSchema.parse(await client.callOrThrow('GET', '/v1/moves')).moves;
}

function describeMove(move: Move): string {
  const { ending, shares, spec, state } = move;
  const lines = [
    `${spec.group}: ${spec.fromVersion} to ${spec.toVersion}, ${state}, deadline ${new Date(spec.deadlineAtMs).toISOString()} (${spec.reason})`,
  ];
  if (state === 'running') {
    const shareTexts = shares.map(
      share => `${share.kind} ${share.sharePercent.toFixed(0)}%`,
    );
    lines.push(`  shares: ${shareTexts.join(', ')}`);
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
    lines.push(
      `  too few requests of their own to judge: ${unprovedKinds.join(', ')}`,
    );
  }
  return lines.join('\n');
}
