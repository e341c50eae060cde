import type { EventEmitter } from 'node:events';

import type { Log, Metrics } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

/**
 * Logs and counts failures of work that nobody waits for, such as one message to
 * a peer. Without a listener they would end the process and all its requests.
 * `process` is the process or a double of it.
 */
export function surviveUnhandledRejections(
  process: EventEmitter,
  log: Log,
  metrics: Metrics,
): void {
  process.on('unhandledRejection', (reason: unknown) => {
    metrics.increment('daemon.unhandledRejections');
    log.error(LogComponent.Daemon, 'Work in the background has failed.', {
      error: reason instanceof Error ? (reason.stack ?? '') : String(reason),
    });
  });
}
