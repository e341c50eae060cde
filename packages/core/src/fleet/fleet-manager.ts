import type { LeaseKeeper } from '../leases/index.js';
import type {
  Clock,
  Cloud,
  Endpoint,
  FleetListing,
  KeyValue,
  Log,
  Metrics,
} from '../ports/index.js';
import { LogPart } from '../ports/index.js';
import type { DemandSource } from './demand.js';
import type { FleetPlan } from './fleet-plan.js';
import { clientTokenOf, isReady, SlotState } from './fleet-plan.js';
import type { FleetDecision, FleetPlanner } from './fleet-planner.js';
import type { FleetPolicy } from './fleet-policy.js';
import type { LeaseGuardOptions } from './lease-guard.js';
import { LeaseGuard } from './lease-guard.js';
import type { OrderEngine, OrderRunnerOptions } from './order-runner.js';
import { applyOrderResults, OrderRunner } from './order-runner.js';
import type { LoadSource } from './order-schedule.js';
import { scheduleOrders } from './order-schedule.js';
import type { StoredPlan } from './plan-store.js';
import { NO_STORED_PLAN, PlanStore } from './plan-store.js';
import type { ActionResult } from './start-runner.js';
import { ActionOutcome, applyResults, StartRunner } from './start-runner.js';

export interface FleetManagerParts {
  readonly clock: Clock;
  readonly cloud: Cloud;
  readonly engine: OrderEngine;
  readonly keyValue: KeyValue;
  readonly keeper: LeaseKeeper;
  readonly planner: FleetPlanner;
  readonly demand: DemandSource;
  readonly loads: LoadSource;
  readonly log: Log;
  readonly metrics: Metrics;
}

export interface FleetManagerOptions extends LeaseGuardOptions {
  readonly policy: FleetPolicy;
  readonly orders: OrderRunnerOptions;
  readonly storeBytesPerSecond: number;
}

/** What one process knows of the fleet. */
export interface FleetState {
  readonly holdsLease: boolean;
  readonly planVersion: number;
  readonly missingTokensPerSecond: number;
  readonly plan: FleetPlan;
}

/**
 * Runs one fleet by lease: reads the stored plan, decides, stores the new plan
 * by compare-and-swap and only then carries it out. Whoever holds the lease
 * next continues from the stored plan, under the same client tokens. It writes
 * its fencing number first, so that a late write of an earlier holder conflicts.
 */
export class FleetManager {
  private readonly store: PlanStore;
  private readonly guard: LeaseGuard;
  private readonly starts: StartRunner;
  private readonly orders: OrderRunner;
  private last = NO_STORED_PLAN;
  /** A write without a known end; the next round writes before it acts, so that it conflicts. */
  private hasOpenWrite = false;
  private missingTokensPerSecond = 0;

  constructor(
    private readonly parts: FleetManagerParts,
    private readonly options: FleetManagerOptions,
  ) {
    const { clock, cloud, engine, keeper, keyValue } = parts;
    const { policy } = options;
    this.store = new PlanStore(keyValue, policy.name);
    this.guard = new LeaseGuard(keeper, clock, options);
    this.starts = new StartRunner(policy, cloud, clock, this.guard);
    this.orders = new OrderRunner(engine, clock, this.guard, options.orders);
  }

  /** Takes or renews the lease. */
  async renew(): Promise<void> {
    await this.parts.keeper.renew();
    this.guard.current();
  }

  /** Gives the lease back, so that another process goes on at once. */
  release(): Promise<void> {
    return this.parts.keeper.release();
  }

  /** Time at which `renew` should be called next. */
  nextRenewalAtMs(): number {
    return this.parts.keeper.nextRenewalAtMs();
  }

  /**
   * One round: the holder plans and acts, others read the plan. Throws
   * `PlatformError` or `FleetPlanError`; the next round starts afresh.
   */
  async step(): Promise<void> {
    const deadlineAtMs = this.parts.clock.nowMs() + this.options.callTimeoutMs;
    this.last = await this.store.read(deadlineAtMs);
    if (this.guard.current() === undefined) return;
    const listing = await this.parts.cloud.list(deadlineAtMs);
    const decision = await this.decide(this.last.plan, listing, deadlineAtMs);
    if (decision === undefined) return;
    this.report(decision);
    const stored = await this.save(this.last, decision.plan);
    if (stored === undefined) return;
    const results = await this.starts.run(decision.actions);
    for (const result of results) this.logResult(result);
    const orderResults = await this.orders.run(stored.plan);
    if (results.length + orderResults.length === 0) return;
    const { policy } = this.options;
    const nowMs = this.parts.clock.nowMs();
    const acted = applyResults(policy, stored.plan, results, nowMs);
    await this.save(stored, applyOrderResults(acted, orderResults));
  }

  /** Instances of the stored plan that take no new work. */
  leavingInstanceIds(): ReadonlySet<string> {
    const leaving = this.last.plan.slots.filter(
      slot =>
        slot.state === SlotState.Draining ||
        slot.state === SlotState.Leaving ||
        slot.state === SlotState.Stopped,
    );
    return new Set(leaving.flatMap(slot => slot.instanceId ?? []));
  }

  state(): FleetState {
    return {
      holdsLease: this.guard.current() !== undefined,
      planVersion: this.last.version,
      missingTokensPerSecond: this.missingTokensPerSecond,
      plan: this.last.plan,
    };
  }

  private async decide(
    plan: FleetPlan,
    listing: FleetListing,
    deadlineAtMs: number,
  ): Promise<FleetDecision | undefined> {
    const { clock, cloud, demand, planner } = this.parts;
    const [notices, prices, demandTokensPerSecond] = await Promise.all([
      cloud.reclaimNotices(deadlineAtMs),
      cloud.prices(deadlineAtMs),
      demand.demandTokensPerSecond(clock.nowMs()),
    ]);
    const lease = this.guard.current();
    if (lease === undefined) return undefined;
    const { fencingNumber } = lease;
    if (plan.fencingNumber > fencingNumber) return undefined;
    const decision = planner.decide(
      { plan, listing, notices, prices, demandTokensPerSecond, fencingNumber },
      clock.nowMs(),
    );
    const endpoints = this.endpointsOf(listing);
    const scheduled = this.schedule(decision.plan, endpoints, fencingNumber);
    return { ...decision, plan: { ...scheduled, fencingNumber } };
  }

  private schedule(
    plan: FleetPlan,
    endpoints: readonly Endpoint[],
    fencingNumber: number,
  ): FleetPlan {
    const { storeBytesPerSecond } = this.options;
    const loads = this.parts.loads.requiredLoads();
    return scheduleOrders(
      { plan, endpoints, loads, storeBytesPerSecond, fencingNumber },
      this.parts.clock.nowMs(),
    );
  }

  private endpointsOf(listing: FleetListing): readonly Endpoint[] {
    const { group } = this.options.policy;
    return listing.endpoints.filter(endpoint => endpoint.group === group);
  }

  /** Stores a plan that changed in more than the list's age. Undefined where another process was first. */
  private async save(
    from: StoredPlan,
    plan: FleetPlan,
  ): Promise<StoredPlan | undefined> {
    const { listingAsOfMs } = from.plan;
    const isSame = JSON.stringify({ ...plan, listingAsOfMs }) === from.text;
    if (isSame && !this.hasOpenWrite) return from;
    if (this.guard.current() === undefined) return undefined;
    const deadlineAtMs = this.guard.callDeadlineMs();
    this.hasOpenWrite = true;
    const stored = await this.store.write(plan, from.version, deadlineAtMs);
    if (stored === undefined) {
      const { log } = this.parts;
      log.warn(LogPart.Fleet, 'Another process changed the plan first.');
      return undefined;
    }
    this.hasOpenWrite = false;
    this.last = stored;
    return stored;
  }

  private report({ missingTokensPerSecond, plan }: FleetDecision): void {
    const { log, metrics } = this.parts;
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
        LogPart.Fleet,
        'No offer is left that would keep the load through the loss of a data centre.',
        { fleet: name, missingTokensPerSecond },
      );
    }
    this.missingTokensPerSecond = missingTokensPerSecond;
  }

  private logResult({ instanceId, outcome, slot }: ActionResult): void {
    const { log, metrics } = this.parts;
    const { name } = this.options.policy;
    metrics.increment(`fleet.actions.${outcome}`, 1, { fleet: name });
    if (outcome === ActionOutcome.Unknown) return;
    log.info(LogPart.Fleet, `A slot was ${outcome}.`, {
      slot: clientTokenOf(name, slot),
      machineClass: slot.machineClass,
      dataCentre: slot.dataCentre,
      billing: slot.billing,
      instance: instanceId ?? slot.instanceId ?? 'none',
    });
  }
}
