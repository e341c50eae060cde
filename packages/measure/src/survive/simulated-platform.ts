import { ScriptedEngine } from '@skylarkreach/core/fakes';
import type { Endpoint, ReclaimNotice } from '@skylarkreach/core/ports';
import { ManualClock, SeededRandom } from '@skylarkreach/core/ports';
import { LeastInFlightRouter, LeavingSource } from '@skylarkreach/core/routing';
import { ReclaimNoticeTracker } from '@skylarkreach/core/streams';

import type { Wave } from './trace.js';
import {
  DATA_CENTRES,
  drawFault,
  createEndpoints,
  MS_PER_TOKEN,
} from './trace.js';

/** What the waves take away: engines, and those who want to know of it. */
export interface WaveListener {
  onNotice(wave: Wave): Promise<void>;
  onReclaim(wave: Wave): Promise<void>;
}

/** Engines, their list and the notices, on a manual clock. */
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
    this.endpoints = DATA_CENTRES.flatMap(each => createEndpoints(each, 1));
    this.router.applyListing(this.endpoints, this.clock.nowMs());
  }

  /** Carries out one wave as time passes. */
  async runWave(wave: Wave, listener?: WaveListener): Promise<void> {
    const {
      dataCentre,
      noticeAtMs,
      reclaimAtMs,
      replacementsListedAtMs: replacedAtMs,
    } = wave;
    const doomed = createEndpoints(dataCentre, 1);
    if (noticeAtMs < reclaimAtMs) {
      await this.clock.waitUntil(noticeAtMs);
      this.announceReclaim(doomed, reclaimAtMs);
      await listener?.onNotice(wave);
    }
    await this.clock.waitUntil(reclaimAtMs);
    for (const { address } of doomed) this.engine.gone.add(address);
    await listener?.onReclaim(wave);
    await this.clock.waitUntil(replacedAtMs);
    this.endpoints = [
      ...this.endpoints.filter(each => each.dataCentre !== dataCentre),
      ...createEndpoints(dataCentre, 2),
    ];
    this.router.applyListing(this.endpoints, this.clock.nowMs());
  }

  private announceReclaim(
    doomed: readonly Endpoint[],
    reclaimAtMs: number,
  ): void {
    const notices = doomed.map(({ instanceId }) => ({
      instanceId,
      reclaimAtMs,
    }));
    this.notices = [...this.notices, ...notices];
    this.reclaims.replaceNotices(this.notices);
    for (const { address } of doomed) {
      this.engine.leaving.add(address);
      this.router.markLeaving(
        address,
        LeavingSource.Notice,
        this.clock.nowMs(),
      );
    }
  }
}
