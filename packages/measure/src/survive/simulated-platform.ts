import { ScriptedEngine } from '@skylarkreach/core/fakes';
import type { Endpoint, ReclaimNotice } from '@skylarkreach/core/ports';
import { ManualClock, SeededRandom } from '@skylarkreach/core/ports';
import { LeastInFlightRouter, LeavingSource } from '@skylarkreach/core/routing';
import { ReclaimNoticeTracker } from '@skylarkreach/core/streams';

import type { Wave } from './trace.js';
import {
  createEndpoints,
  DATA_CENTRES,
  drawFault,
  MS_PER_TOKEN,
} from './trace.js';

/** Listener for the notice and the reclaim of a wave. */
export interface WaveListener {
  onNotice(wave: Wave): Promise<void>;
  onReclaim(wave: Wave): Promise<void>;
}

/** Simulated platform with engines, their listing and reclaim notices, on a manual clock. */
export class SimulatedPlatform {
  readonly clock = new ManualClock();
  readonly engine: ScriptedEngine;
  readonly router: LeastInFlightRouter;
  readonly reclaims = new ReclaimNoticeTracker();
  private endpoints: readonly Endpoint[];
  private notices: readonly ReclaimNotice[] = [];

  constructor(seed: number) {
    const faults = new SeededRandom(seed + 1);
    this.engine = new ScriptedEngine(this.clock, MS_PER_TOKEN, () =>
      drawFault(faults),
    );
    this.router = new LeastInFlightRouter(new SeededRandom(seed + 2));
    this.endpoints = DATA_CENTRES.flatMap(name => createEndpoints(name, 1));
    this.router.applyListing(this.endpoints, this.clock.nowMs());
  }

  /** Runs one wave: notice (if any), reclaim, and listing of the replacements. */
  async runWave(wave: Wave, listener?: WaveListener): Promise<void> {
    const {
      dataCentre,
      noticeAtMs,
      reclaimAtMs,
      replacementsListedAtMs: replacedAtMs,
    } = wave;
    const reclaimed = createEndpoints(dataCentre, 1);
    if (noticeAtMs < reclaimAtMs) {
      await this.clock.waitUntil(noticeAtMs);
      this.announceReclaim(reclaimed, reclaimAtMs);
      await listener?.onNotice(wave);
    }
    await this.clock.waitUntil(reclaimAtMs);
    for (const { address } of reclaimed)
      this.engine.terminatedAddresses.add(address);
    await listener?.onReclaim(wave);
    await this.clock.waitUntil(replacedAtMs);
    this.endpoints = [
      ...this.endpoints.filter(endpoint => endpoint.dataCentre !== dataCentre),
      ...createEndpoints(dataCentre, 2),
    ];
    this.router.applyListing(this.endpoints, this.clock.nowMs());
  }

  private announceReclaim(
    reclaimed: readonly Endpoint[],
    reclaimAtMs: number,
  ): void {
    const notices = reclaimed.map(({ instanceId }) => ({
      instanceId,
      reclaimAtMs,
    }));
    this.notices = [...this.notices, ...notices];
    this.reclaims.replaceNotices(this.notices);
    for (const { address } of reclaimed) {
      this.engine.drainingAddresses.add(address);
      this.router.markLeaving(
        address,
        LeavingSource.Notice,
        this.clock.nowMs(),
      );
    }
  }
}
