import type { LeaseKeeper } from '../leases/index.js';
import type {
  Clock,
  CloudClient,
  Endpoint,
  FleetListing,
  KeyValueStore,
  Log,
  Metrics,
} from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import type { ActionResult } from './action-runner.js';
import {
  ActionOutcome,
  ActionRunner,
  applyActionResults,
} from './action-runner.js';
import type { DemandSource } from './demand.js';
import type { FleetPlan } from './fleet-plan.js';
import { clientTokenOf, isReady, SlotState } from './fleet-plan.js';
import type { FleetDecision, FleetPlanner } from './fleet-planner.js';
import type { FleetPolicy } from './fleet-policy.js';
import type { LeaseGuardOptions } from './lease-guard.js';
import { LeaseGuard } from './lease-guard.js';
import type { OrderEngine, OrderRunnerOptions } from './order-runner.js';
import { applyOrderResults, OrderRunner } from './order-runner.js';
import type { RequirementSource } from './order-schedule.js';
import { scheduleOrders } from './order-schedule.js';
import type { StoredPlan } from './plan-store.js';
import { NO_STORED_PLAN, PlanStore } from './plan-store.js';

export interface FleetManagerDependencies {
  readonly clock: Clock;
  readonly cloud: CloudClient;
  readonly engine: OrderEngine;
  readonly keyValue: KeyValueStore;
  readonly leaseKeeper: LeaseKeeper;
  readonly planner: FleetPlanner;
  readonly demand: DemandSource;
  readonly requirements: RequirementSource;
  readonly log: Log;
  readonly metrics: Metrics;
}

export interface FleetManagerOptions extends LeaseGuardOptions {
  readonly policy: FleetPolicy;
  readonly orderRunnerOptions: OrderRunnerOptions;
  readonly storeBytesPerSecond: number;
}

/** State of the fleet as known to one process, for the state dump. */
export interface FleetState {
  readonly holdsLease: boolean;
  readonly planVersion: number;
  readonly missingTokensPerSecond: number;
  readonly plan: FleetPlan;
}

/**
 * Manages one fleet under a lease. Each round reads the stored plan, computes
 * the next one, stores it by compare-and-swap and only then carries it out. The
 * next lease holder continues from the stored plan with the same client tokens.
 * It writes its fencing number first, so that a late write of an earlier holder
 * conflicts.
 */
export class FleetManager {
  private readonly planStore: PlanStore;
  private readonly leaseGuard: LeaseGuard;
  private readonly actionRunner: ActionRunner;
  private readonly orderRunner: OrderRunner;
  private lastStored = NO_STORED_PLAN;
  /**
   * Whether the outcome of the last write is unknown. The next round then writes
   * before it acts, even if the plan is unchanged, so that the late write conflicts.
   */
  private hasUnconfirmedWrite = false;
  private missingTokensPerSecond = 0;

  constructor(
    private readonly deps: FleetManagerDependencies,
    private readonly options: FleetManagerOptions,
  ) {
    const { clock, cloud, engine, leaseKeeper, keyValue } = deps;
    const { policy } = options;
    this.planStore = new PlanStore(keyValue, policy.name);
    this.leaseGuard = new LeaseGuard(leaseKeeper, clock, options);
    this.actionRunner = new ActionRunner(policy, cloud, clock, this.leaseGuard);
    this.orderRunner = new OrderRunner(
      engine,
      clock,
      this.leaseGuard,
      options.orderRunnerOptions,
    );
  }

  /** Acquires or renews the lease. */
  async renew(): Promise<void> {
    await this.deps.leaseKeeper.renew();
    this.leaseGuard.current();
  }

  /** Releases the lease, so that another process can take over without waiting for it to expire. */
  release(): Promise<void> {
    return this.deps.leaseKeeper.release();
  }

  /** Returns the time at which `renew` should be called next. */
  nextRenewalAtMs(): number {
    return this.deps.leaseKeeper.nextRenewalAtMs();
  }

  /**
   * Runs one round: the lease holder plans and acts, other processes only read
   * the plan. Throws `PlatformError` or `FleetPlanError`; the next round starts
   * again from the stored plan.
   */
  async runRound(): Promise<void> {
    const deadlineAtMs = this.deps.clock.nowMs() + this.options.callTimeoutMs;
    this.lastStored = await this.planStore.read(deadlineAtMs);
    if (this.leaseGuard.current() === undefined) return;
    const listing = await this.deps.cloud.list(deadlineAtMs);
    const decision = await this.decide(
      this.lastStored.plan,
      listing,
      deadlineAtMs,
    );
    if (decision === undefined) return;
    this.reportDecision(decision);
    const stored = await this.savePlan(this.lastStored, decision.plan);
    if (stored === undefined) return;
    const results = await this.actionRunner.run(decision.actions);
    for (const result of results) this.logActionResult(result);
    const orderResults = await this.orderRunner.run(stored.plan);
    if (results.length + orderResults.length === 0) return;
    const { policy } = this.options;
    const nowMs = this.deps.clock.nowMs();
    const updatedPlan = applyActionResults(policy, stored.plan, results, nowMs);
    await this.savePlan(stored, applyOrderResults(updatedPlan, orderResults));
  }

  /** Returns the instances of the stored plan that must receive no new requests. */
  leavingInstanceIds(): ReadonlySet<string> {
    const leaving = this.lastStored.plan.slots.filter(
      slot =>
        slot.state === SlotState.Draining ||
        slot.state === SlotState.Leaving ||
        slot.state === SlotState.Stopped,
    );
    return new Set(leaving.flatMap(slot => slot.instanceId ?? []));
  }

  state(): FleetState {
    return {
      holdsLease: this.leaseGuard.current() !== undefined,
      planVersion: this.lastStored.version,
      missingTokensPerSecond: this.missingTokensPerSecond,
      plan: this.lastStored.plan,
    };
  }

  private async decide(
    plan: FleetPlan,
    listing: FleetListing,
    deadlineAtMs: number,
  ): Promise<FleetDecision | undefined> {
    const { clock, cloud, demand, planner } = this.deps;
    const [notices, prices, demandTokensPerSecond] = await Promise.all([
      cloud.reclaimNotices(deadlineAtMs),
      cloud.prices(deadlineAtMs),
      demand.demandTokensPerSecond(clock.nowMs()),
    ]);
    const lease = this.leaseGuard.current();
    if (lease === undefined) return undefined;
    const { fencingNumber } = lease;
    if (plan.fencingNumber > fencingNumber) return undefined;
    const decision = planner.decide(
      { plan, listing, notices, prices, demandTokensPerSecond, fencingNumber },
      clock.nowMs(),
    );
    const endpoints = this.endpointsOf(listing);
    const scheduled = this.planOrders(decision.plan, endpoints, fencingNumber);
    return { ...decision, plan: { ...scheduled, fencingNumber } };
  }

  private planOrders(
    plan: FleetPlan,
    endpoints: readonly Endpoint[],
    fencingNumber: number,
  ): FleetPlan {
    const { storeBytesPerSecond } = this.options;
    const requirements = this.deps.requirements.endpointRequirements();
    return scheduleOrders(
      {
        plan,
        endpoints,
        requirements,
        storeBytesPerSecond,
        fencingNumber,
      },
      this.deps.clock.nowMs(),
    );
  }

  private endpointsOf(listing: FleetListing): readonly Endpoint[] {
    const { group } = this.options.policy;
    return listing.endpoints.filter(endpoint => endpoint.group === group);
  }

  /**
   * Stores the plan if more than its `listingAsOfMs` has changed. Returns
   * undefined if the lease is not held or another process wrote first.
   */
  private async savePlan(
    base: StoredPlan,
    plan: FleetPlan,
  ): Promise<StoredPlan | undefined> {
    const { listingAsOfMs } = base.plan;
    const isUnchanged =
      JSON.stringify({ ...plan, listingAsOfMs }) === base.text;
    if (isUnchanged && !this.hasUnconfirmedWrite) return base;
    if (this.leaseGuard.current() === undefined) return undefined;
    const deadlineAtMs = this.leaseGuard.callDeadlineMs();
    this.hasUnconfirmedWrite = true;
    const stored = await this.planStore.write(plan, base.version, deadlineAtMs);
    if (stored === undefined) {
      const { log } = this.deps;
      log.warn(LogComponent.Fleet, 'Another process changed the plan first.');
      return undefined;
    }
    this.hasUnconfirmedWrite = false;
    this.lastStored = stored;
    return stored;
  }

  private reportDecision({
    missingTokensPerSecond,
    plan,
  }: FleetDecision): void {
    const { log, metrics } = this.deps;
    const { name } = this.options.policy;
    const tags = { fleet: name };
    const ready = plan.slots.filter(isReady).length;
    metrics.gauge('fleet.instances.ready', ready, tags);
    metrics.gauge('fleet.instances.planned', plan.slots.length, tags);
    metrics.gauge(
      'fleet.missing_tokens_per_second',
      missingTokensPerSecond,
      tags,
    );
    if (missingTokensPerSecond > 0 && this.missingTokensPerSecond === 0) {
      log.warn(
        LogComponent.Fleet,
        'The available offers cannot keep the required capacity through the loss of a data centre.',
        { fleet: name, missingTokensPerSecond },
      );
    }
    this.missingTokensPerSecond = missingTokensPerSecond;
  }

  private logActionResult({ instanceId, outcome, slot }: ActionResult): void {
    const { log, metrics } = this.deps;
    const { name } = this.options.policy;
    metrics.increment(`fleet.actions.${outcome}`, 1, { fleet: name });
    if (outcome === ActionOutcome.Unknown) return;
    log.info(LogComponent.Fleet, `The request for a slot ended: ${outcome}.`, {
      slot: clientTokenOf(name, slot),
      machineClass: slot.machineClass,
      dataCentre: slot.dataCentre,
      billing: slot.billing,
      instance: instanceId ?? slot.instanceId ?? 'none',
    });
  }
}
