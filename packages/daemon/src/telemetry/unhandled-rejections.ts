import type { Log, Metrics } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import { errorText } from './error-text.js';

/** Source of rejections that nobody handles: the process. */
export interface RejectionSource {
  on(event: 'unhandledRejection', listener: (reason: unknown) => void): unknown;
}

/**
 * Logs and counts failures of work that nobody waits for, such as one message to
 * a peer. Without a listener they would end the process and all its requests.
 */
export function surviveUnhandledRejections(
  source: RejectionSource,
  log: Log,
  metrics: Metrics,
): void {
  source.on('unhandledRejection', (reason: unknown) => {
    metrics.increment('daemon.unhandledRejections');
    log.error(LogComponent.Daemon, 'Work in the background has failed.', {
      error: errorText(reason),
    });
  });
}
