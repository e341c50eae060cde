import type { Clock, CloudClient } from '@skylarkreach/core/ports';
import type { ReclaimNoticeTracker } from '@skylarkreach/core/streams';

import type { HandOff } from './hand-off.js';

const CALL_TIMEOUT_MS = 2_000;

/** Polls the reclaim notices of the platform and starts the hand-off once one names this daemon's instance. */
export class ReclaimNoticePoller {
  constructor(
    private readonly cloud: Pick<CloudClient, 'reclaimNotices'>,
    private readonly board: ReclaimNoticeTracker,
    private readonly handOff: HandOff,
    private readonly clock: Clock,
    private readonly ownInstanceId: string | undefined,
  ) {}

  async poll(): Promise<void> {
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    const notices = await this.cloud.reclaimNotices(deadlineAtMs);
    this.board.replaceNotices(notices);
    const ownReclaimAtMs = this.board.reclaimAtMs(this.ownInstanceId);
    if (ownReclaimAtMs !== undefined) this.handOff.start(ownReclaimAtMs);
  }
}
