import { setTimeout as delay } from 'node:timers/promises';

import { z } from 'zod';

import type { OperatorClient } from './operator-client.js';
import { CliError, CliExitCode } from './operator-client.js';
import type { CommonOptions } from './output.js';
import { printResult } from './output.js';

const DEFAULT_WAIT_SECONDS = 30;
const POLL_INTERVAL_MS = 250;

const revisionsSchema = z.object({
  daemons: z.array(
    z.object({ daemonId: z.string(), revision: z.number().optional() }),
  ),
});

export interface WaitOptions extends CommonOptions {
  /** Wait until every live daemon reports the revision. */
  readonly wait?: boolean;
  /** Longest wait in seconds. */
  readonly 'wait-seconds'?: number;
}

/** Waits until every live daemon has the revision in force. Throws `CliError` with the laggards. */
export async function waitForRevision(
  client: OperatorClient,
  revision: number,
  options: WaitOptions,
): Promise<void> {
  const waitSeconds = options['wait-seconds'] ?? DEFAULT_WAIT_SECONDS;
  const deadlineAtMs = Date.now() + waitSeconds * 1_000;
  for (;;) {
    const answer = await client.callOk('GET', '/v1/rules/revisions');
    const { daemons } = revisionsSchema.parse(answer);
    const laggards = daemons
      .filter(daemon => (daemon.revision ?? 0) < revision)
      .map(daemon => daemon.daemonId);
    if (laggards.length === 0) {
      const text = `Revision ${revision} is in force on all ${daemons.length} live daemons.`;
      printResult(options, { revision, daemons }, text);
      return;
    }
    if (Date.now() >= deadlineAtMs) throw laggardError(revision, laggards);
    await delay(POLL_INTERVAL_MS);
  }
}

function laggardError(revision: number, laggards: readonly string[]): CliError {
  return new CliError(
    `Revision ${revision} is accepted, but not yet reported by ${laggards.join(', ')}. Look at their status and logs.`,
    CliExitCode.Refused,
  );
}
