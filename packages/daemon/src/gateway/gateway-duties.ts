import {
  DutyCallTracker,
  DutyHolder,
  FleetScaler,
  LearnedCapacities,
  UsageCheckpoint,
  UsageForwarder,
  UsageLedger,
  UsageReporter,
  UsageTeller,
} from '@skylarkreach/core/duties';
import type { Evacuations } from '@skylarkreach/core/evacuations';
import type { FirstEventCounts } from '@skylarkreach/core/first-events';
import { sumFirstEvents } from '@skylarkreach/core/first-events';
import type {
  ConfigurationStore,
  EndpointPool,
} from '@skylarkreach/core/forwarding';
import { ClusterTime } from '@skylarkreach/core/hints';
import { LogComponent } from '@skylarkreach/core/ports';
import type { RolloutRegistry } from '@skylarkreach/core/rollouts';
import { RolloutWriter } from '@skylarkreach/core/rollouts';

import type { Loop } from '../loops/index.js';
import { createIntervalLoop } from '../loops/index.js';
import { createFirstEvents } from './create-first-events.js';
import type { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';

const LEASE_STEP_MS = 250;
const USAGE_STEP_MS = 300;
/** Interval between checks whether counts are to be told or stored, a fraction of the shortest time between two messages. */
const USAGE_COUNTS_STEP_MS = 100;
const SCALING_STEP_MS = 500;
const ROLLOUT_STEP_MS = 250;
const MS_PER_SECOND = 1_000;
/** Time without hints from a live daemon after which its usage counts are considered missing. */
const PEER_SILENCE_LIMIT_MS = 1_500; // three hint exchanges
/** Fraction of the time until a usage report is due after which it is sent without missing counts. */
const REPORT_CUTOFF_SHARE = 0.6;
/** Time after the start within which all running endpoints are listed. */
const LISTING_SETTLE_MS = 4_000; // they start along with the daemons, and the list lags by up to 3 s
/** Time after the start in which a daemon gets to know its first peer. */
const FIRST_PEER_MS = 1_000;
/** Time after the start in which a daemon that knows a peer gets to know the others. */
const SETTLE_MS = 3_000; // within 2 s, 15 of 17 daemons that started together took themselves for the first
const RANKING_PURPOSE = 'duties';

export interface GatewayDutiesDependencies {
  readonly configuration: ConfigurationStore;
  readonly pool: EndpointPool;
  readonly evacuations: Evacuations;
  readonly cluster: () => GatewayCluster;
  readonly rollouts: RolloutRegistry;
}

/** Platform duties, carried out by one daemon at a time: usage reports, rollouts and fleet scaling. */
export class GatewayDuties {
  readonly trueTime: ClusterTime;
  readonly usageLedger: UsageLedger;
  readonly dutyHolder: DutyHolder;
  /** Undefined if the planned load of endpoints is not learned. */
  readonly firstEvents: FirstEventCounts | undefined;
  readonly loops: readonly Loop[];
  private readonly dutyCalls: DutyCallTracker;

  constructor(context: GatewayContext, deps: GatewayDutiesDependencies) {
    const { clock, log, metrics, platform, settings } = context;
    const { bounds, identity } = settings;
    const { firstEventLoops, firstEvents } = createFirstEvents(context);
    this.firstEvents = firstEvents;
    this.trueTime = new ClusterTime(
      () => Date.now(),
      () => clock.nowMs(),
    );
    this.usageLedger = new UsageLedger(
      bounds.usageWindowSeconds * MS_PER_SECOND,
      () => this.trueTime.nowMs(),
      `${identity.daemonId}/${Math.round(clock.nowMs())}`,
    );
    const startedAtMs = clock.nowMs();
    const rankAfterStart = () => {
      const cluster = deps.cluster();
      const settleMs = cluster.size === 1 ? FIRST_PEER_MS : SETTLE_MS;
      return clock.nowMs() < startedAtMs + settleMs
        ? Infinity
        : cluster.rankFor(RANKING_PURPOSE);
    };
    this.dutyHolder = new DutyHolder(
      platform.keyValue,
      clock,
      () => Date.now(),
      {
        hasHolder: () => deps.cluster().hintBoard.hasHolder(clock.nowMs()),
        rank: rankAfterStart,
      },
      { ...identity, leaseMs: bounds.leaseMs },
      log,
    );
    this.dutyCalls = new DutyCallTracker({
      api: platform.duties,
      clock,
      lease: this.dutyHolder,
      leaseMs: bounds.leaseMs,
      log,
      metrics,
    });
    const dutyApi = this.dutyCalls;
    const checkpointMs = () => bounds.usageCheckpointSeconds * MS_PER_SECOND;
    const usageCheckpoint: UsageCheckpoint = new UsageCheckpoint({
      ...context,
      keyValue: platform.keyValue,
      ledger: this.usageLedger,
      intervalMs: checkpointMs,
      firstWindowId: () => usageReporter.nextWindowId,
    });
    const usageReporter = new UsageReporter({
      clock,
      log,
      keyValue: platform.keyValue,
      dutyApi,
      ledger: this.usageLedger,
      isComplete: () => deps.cluster().hasAllHintsWithin(PEER_SILENCE_LIMIT_MS),
      maxWaitMs: bounds.usageDueSeconds * MS_PER_SECOND * REPORT_CUTOFF_SHARE,
      hasRestored: token => usageCheckpoint.hasRestored(token),
    });
    const fleetScaler = new FleetScaler({
      clock,
      log,
      dutyApi,
      groups: () => deps.configuration.current?.groups ?? [],
      endpoints: () => deps.pool.endpoints(),
      runningIn: group => deps.pool.runningRequests(group),
      firstPlanAtMs: clock.nowMs() + LISTING_SETTLE_MS,
      isEvacuated: dataCentre => deps.evacuations.isEvacuated(dataCentre),
      capacities: createCapacities(context, firstEvents, deps.cluster),
    });
    const rolloutWriter = new RolloutWriter({
      clock,
      log,
      registry: deps.rollouts,
      status: platform.rolloutStatus,
      inFlightOnOtherVersions: (group, toVersion) =>
        deps.pool.runningRequests(group, toVersion),
    });
    const currentProof = () => this.dutyHolder.currentToken();
    const createLoop = (
      name: string,
      intervalMs: number,
      step: () => Promise<void>,
    ) =>
      createIntervalLoop(context, LogComponent.Duties, name, intervalMs, step);
    this.loops = [
      ...firstEventLoops,
      createLoop('duty lease', LEASE_STEP_MS, () => this.dutyHolder.step()),
      createLoop('usage', USAGE_STEP_MS, () =>
        usageReporter.step(currentProof),
      ),
      createLoop('usage counts', USAGE_COUNTS_STEP_MS, () =>
        usageCheckpoint.step(currentProof),
      ),
      createLoop('rollouts', ROLLOUT_STEP_MS, async () => {
        deps.rollouts.tick();
        await rolloutWriter.step(() => currentProof() !== undefined);
      }),
      createLoop('scaling', SCALING_STEP_MS, () =>
        fleetScaler.step(currentProof),
      ),
    ];
  }

  /** Returns the loops that send usage counts towards the holder of the duties: those of this daemon, and those that peers have told it. */
  createTellingLoops(
    context: GatewayContext,
    cluster: GatewayCluster,
  ): readonly Loop[] {
    const { settings } = context;
    const deps = {
      ...context,
      peer: cluster.peer,
      registry: cluster.peerServer,
      ledger: this.usageLedger,
      isEnabled: () => settings.bounds.usageCheckpointSeconds > 0,
      holdsDuties: () => this.dutyHolder.currentToken() !== undefined,
      holder: () => cluster.usageHolder(),
    };
    const forwarder = new UsageForwarder(deps);
    const teller = new UsageTeller({
      ...deps,
      forwarder,
      self: () => cluster.identity,
      livePeers: () => cluster.membership.live(),
      // Among thousands, the hints of most daemons are not known; their answer says whether they pass counts on.
      mayCollect: id => cluster.hintBoard.collectsUsage(id) !== false,
    });
    const createLoop = (name: string, step: () => Promise<void>) =>
      createIntervalLoop(
        context,
        LogComponent.Duties,
        name,
        USAGE_COUNTS_STEP_MS,
        step,
      );
    return [
      createLoop('telling usage counts', () => teller.step()),
      createLoop('passing on usage counts', () => forwarder.step()),
    ];
  }

  /** Gives the duties up for good, so that another daemon can take them over. */
  release(): Promise<void> {
    return this.dutyHolder.release(() => this.dutyCalls.settle());
  }
}

/** Creates what learns the planned load of endpoints from first events; undefined if they are not counted. */
function createCapacities(
  { clock, log, metrics }: GatewayContext,
  firstEvents: FirstEventCounts | undefined,
  cluster: () => GatewayCluster,
): LearnedCapacities | undefined {
  if (firstEvents === undefined) return undefined;
  return new LearnedCapacities({
    log,
    metrics,
    firstEvents: group => {
      const peers = cluster().hintBoard.freshHints(clock.nowMs());
      const peerCounts = peers.map(({ hints }) => hints.firstEvents);
      return sumFirstEvents(group, [firstEvents.hints(), ...peerCounts]);
    },
  });
}
