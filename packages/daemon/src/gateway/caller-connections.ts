import type { Metrics } from '@skylarkreach/core/ports';

import type { ConnectionObserver, OtherEnd } from '../http/index.js';
import { ConnectionEnd } from '../http/index.js';

/** Counts how callers' connections end. */
export class CallerConnectionMetrics implements ConnectionObserver {
  constructor(private readonly metrics: Metrics) {}

  onClosed(by: ConnectionEnd | OtherEnd): void {
    this.metrics.increment('callers.connectionsClosed', 1, { by });
    if (by === ConnectionEnd.Idle)
      this.metrics.increment('callers.idleConnectionsClosed');
  }

  onCutResponse(endedBy: ConnectionEnd | OtherEnd): void {
    this.metrics.increment('callers.cutResponses', 1, { endedBy });
  }
}
