import type { Clock, KeyValue } from '@skylarkreach/core/platform';

import type { OperatorServer } from './operator-server.js';

/** Prefix of the keys under which version moves are recorded. */
const MOVES_PREFIX = 'moves/';
const CALL_TIMEOUT_MS = 5_000;

/** Adds the operators' call that lists the recorded version moves. */
export function addMoveCalls(
  server: OperatorServer,
  keyValue: KeyValue,
  clock: Clock,
): void {
  server.add('GET', '/v1/moves', async () => {
    const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const entries = await keyValue.list(MOVES_PREFIX, deadlineAtMs);
    const moves = entries.map(entry => JSON.parse(entry.value) as unknown);
    return { status: 200, body: { moves } };
  });
}
