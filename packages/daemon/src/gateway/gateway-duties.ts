import {
  DutyHolder,
  FleetScaler,
  UsageLedger,
  UsageReporter,
} from '@skylarkreach/core/duties';
import type {
  ConfigurationStore,
  EndpointPool,
} from '@skylarkreach/core/forwarding';
import { TrueTime } from '@skylarkreach/core/hints';
import { LogPart } from '@skylarkreach/core/ports';
import type { RolloutBoard } from '@skylarkreach/core/rollouts';
import { RolloutWriter } from '@skylarkreach/core/rollouts';

import type { Loop } from '../loops/index.js';
import { everyInterval } from '../loops/index.js';
import type { GatewayBase } from './gateway-base.js';
import type { GatewayCluster } from './gateway-cluster.js';

const LEASE_STEP_MS = 250;
const USAGE_STEP_MS = 300;
const SCALING_STEP_MS = 500;
const ROLLOUT_STEP_MS = 250;
const MS_PER_SECOND = 1_000;
/** Silence of a daemon after which its counts are taken to be missing. */
const COUNTS_WITHIN_MS = 1_500; // three exchanges of hints
/** Part of the time until a report is due after which it goes out without missing counts. */
const LATEST_SHARE = 0.6;
const PURPOSE = 'duties';

/** What the duties look at. */
export interface DutySubject {
  readonly configuration: ConfigurationStore;
  readonly pool: EndpointPool;
  readonly cluster: () => GatewayCluster;
  readonly rollouts: RolloutBoard;
}

/** The duties towards the platform, which one daemon at a time carries out. */
export class GatewayDuties {
  readonly trueTime: TrueTime;
  readonly ledger: UsageLedger;
  readonly holder: DutyHolder;
  readonly loops: readonly Loop[];

  constructor(base: GatewayBase, subject: DutySubject) {
    const { clock, log, platform, settings } = base;
    const { bounds, identity } = settings;
    this.trueTime = new TrueTime(
      () => Date.now(),
      () => clock.nowMs(),
    );
    this.ledger = new UsageLedger(
      bounds.usageWindowSeconds * MS_PER_SECOND,
      () => this.trueTime.nowMs(),
    );
    this.holder = new DutyHolder(
      platform.keyValue,
      clock,
      () => Date.now(),
      {
        hasHolder: () => subject.cluster().board.hasHolder(clock.nowMs()),
        rank: () => subject.cluster().rankFor(PURPOSE),
      },
      { ...identity, leaseMs: bounds.leaseMs },
    );
    const reporter = new UsageReporter({
      clock,
      log,
      keyValue: platform.keyValue,
      calls: platform.duties,
      ledger: this.ledger,
      isComplete: () => subject.cluster().isHeardWithin(COUNTS_WITHIN_MS),
      latestMs: bounds.usageDueSeconds * MS_PER_SECOND * LATEST_SHARE,
    });
    const scaler = new FleetScaler({
      clock,
      log,
      calls: platform.duties,
      groups: () => subject.configuration.current?.groups ?? [],
      endpoints: () => subject.pool.endpoints(),
      runningIn: group => subject.pool.runningIn(group),
    });
    const writer = new RolloutWriter({
      clock,
      log,
      board: subject.rollouts,
      status: platform.rolloutStatus,
      runningElsewhere: (group, toVersion) =>
        subject.pool.runningIn(group, toVersion),
    });
    const proof = () => this.holder.current();
    const every = (
      name: string,
      intervalMs: number,
      step: () => Promise<void>,
    ) => everyInterval(base, LogPart.Duties, name, intervalMs, step);
    this.loops = [
      every('duty lease', LEASE_STEP_MS, () => this.holder.step()),
      every('usage', USAGE_STEP_MS, () => reporter.step(proof)),
      every('rollouts', ROLLOUT_STEP_MS, async () => {
        subject.rollouts.tick();
        await writer.step(() => proof() !== undefined);
      }),
      every('scaling', SCALING_STEP_MS, () => scaler.step(proof)),
    ];
  }
}
