import type { Clock, Cloud } from '@skylarkreach/core/ports';
import type { ReclaimNoticeTracker } from '@skylarkreach/core/streams';

import type { HandOff } from './hand-off.js';

const CALL_TIMEOUT_MS = 2_000;

/** Reads the reclaim notices for the streams, and begins the hand-off on this daemon's own. */
export class ReclaimWatch {
  constructor(
    private readonly cloud: Pick<Cloud, 'reclaimNotices'>,
    private readonly board: ReclaimNoticeTracker,
    private readonly handOff: HandOff,
    private readonly clock: Clock,
    private readonly ownInstanceId: string | undefined,
  ) {}

  async step(): Promise<void> {
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    const notices = await this.cloud.reclaimNotices(deadlineAtMs);
    this.board.replaceNotices(notices);
    const own = this.board.reclaimAtMs(this.ownInstanceId);
    if (own !== undefined) this.handOff.begin(own);
  }
}
