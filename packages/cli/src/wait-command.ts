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
  /** Whether to wait until every live daemon reports the revision. */
  readonly wait?: boolean;
  /** Maximum wait, in seconds; 30 where absent. */
  readonly 'wait-seconds'?: number;
}

/**
 * Polls until every live daemon has the revision or a later one in force.
 * Throws `CliError` with the ids of the daemons that lag behind at the timeout.
 */
export async function waitForRevision(
  client: OperatorClient,
  revision: number,
  options: WaitOptions,
): Promise<void> {
  const waitSeconds = options['wait-seconds'] ?? DEFAULT_WAIT_SECONDS;
  const deadlineAtMs = Date.now() + waitSeconds * 1_000;
  for (;;) {
    const body = await client.callOrThrow('GET', '/v1/rules/revisions');
    const { daemons } = revisionsSchema.parse(body);
    const laggingDaemonIds = daemons
      .filter(daemon => (daemon.revision ?? 0) < revision)
      .map(daemon => daemon.daemonId);
    if (laggingDaemonIds.length === 0) {
      const text = `Revision ${revision} is in force on all ${daemons.length} live daemons.`;
      printResult(options, { revision, daemons }, text);
      return;
    }
    if (Date.now() >= deadlineAtMs)
      throw createTimeoutError(revision, laggingDaemonIds);
    await delay(POLL_INTERVAL_MS);
  }
}

function createTimeoutError(
  revision: number,
  laggingDaemonIds: readonly string[],
): CliError {
  return new CliError(
    `Revision ${revision} is accepted, but not yet reported by ${laggingDaemonIds.join(', ')}. Check the status and logs of these daemons.`,
    CliExitCode.Refused,
  );
}
