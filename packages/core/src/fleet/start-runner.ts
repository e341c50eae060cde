import type { Clock, Cloud, Lease } from '../ports/index.js';
import { PlatformError, StartOutcome } from '../ports/index.js';
import type { FleetPlan, Slot } from './fleet-plan.js';
import { clientTokenOf, SlotState } from './fleet-plan.js';
import type { FleetAction } from './fleet-planner.js';
import { FleetActionKind } from './fleet-planner.js';
import type { FleetPolicy } from './fleet-policy.js';
import type { LeaseGuard } from './lease-guard.js';
import { clearRefusal, recordRefusal } from './refusals.js';

/** What became of one action that was carried out. */
export enum ActionOutcome {
  Started = 'started',
  Refused = 'refused',
  Stopped = 'stopped',
  /** No answer, or no lease; the next step tries again. */
  Unknown = 'unknown',
}

export interface ActionResult {
  readonly slot: Slot;
  readonly outcome: ActionOutcome;
  readonly instanceId?: string;
}

/** Carries out starts and stops of a stored plan, under a lease. */
export class StartRunner {
  /** Time until which an earlier start of the slot may still take effect. */
  private readonly openUntilMs = new Map<number, number>();

  constructor(
    private readonly policy: FleetPolicy,
    private readonly cloud: Cloud,
    private readonly clock: Clock,
    private readonly guard: LeaseGuard,
  ) {}

  run(actions: readonly FleetAction[]): Promise<readonly ActionResult[]> {
    return Promise.all(
      actions
        .filter(action => action.kind !== FleetActionKind.Drain)
        .map(action => this.runOne(action)),
    );
  }

  private async runOne({ kind, slot }: FleetAction): Promise<ActionResult> {
    const lease = this.guard.current();
    if (lease === undefined) return { slot, outcome: ActionOutcome.Unknown };
    try {
      if (kind === FleetActionKind.Start) return await this.start(slot, lease);
      await this.cloud.stop(slot.instanceId ?? '', this.guard.callDeadlineMs());
      return { slot, outcome: ActionOutcome.Stopped };
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return { slot, outcome: ActionOutcome.Unknown };
    }
  }

  private async start(slot: Slot, lease: Lease): Promise<ActionResult> {
    const openUntilMs = this.earlierStartUntilMs(slot, lease);
    const deadlineAtMs = this.guard.callDeadlineMs();
    this.openUntilMs.set(slot.slotId, Math.max(openUntilMs, deadlineAtMs));
    const result = await this.cloud.start({
      machineClass: slot.machineClass,
      dataCentre: slot.dataCentre,
      billing: slot.billing,
      clientToken: clientTokenOf(this.policy.name, slot),
      deadlineAtMs,
    });
    if (result.outcome === StartOutcome.Started) {
      this.openUntilMs.delete(slot.slotId);
      const { instanceId } = result;
      return { slot, outcome: ActionOutcome.Started, instanceId };
    }
    if (this.clock.nowMs() < openUntilMs) {
      this.openUntilMs.set(slot.slotId, openUntilMs);
      return { slot, outcome: ActionOutcome.Unknown };
    }
    this.openUntilMs.delete(slot.slotId);
    return { slot, outcome: ActionOutcome.Refused };
  }

  /** A start sent by an earlier holder may take effect until that lease has ended. */
  private earlierStartUntilMs(slot: Slot, lease: Lease): number {
    const own = this.openUntilMs.get(slot.slotId) ?? 0;
    const isInherited = slot.fencingNumber < lease.fencingNumber;
    return isInherited ? Math.max(own, this.guard.settledAtMs()) : own;
  }
}

/** The plan with the results of its actions. */
export function applyResults(
  policy: FleetPolicy,
  plan: FleetPlan,
  results: readonly ActionResult[],
  nowMs: number,
): FleetPlan {
  return results.reduce(
    (next, result) => applyResult(policy, next, result, nowMs),
    plan,
  );
}

function applyResult(
  policy: FleetPolicy,
  plan: FleetPlan,
  result: ActionResult,
  nowMs: number,
): FleetPlan {
  const { slot } = result;
  switch (result.outcome) {
    case ActionOutcome.Unknown:
      return plan;
    case ActionOutcome.Refused:
      return refuse(policy, plan, slot, nowMs);
    case ActionOutcome.Stopped:
      return replace(plan, { ...slot, state: SlotState.Stopped });
    case ActionOutcome.Started:
      return replace(clearRefusal(plan, slot), {
        ...slot,
        state: SlotState.Started,
        instanceId: result.instanceId,
        startedAtMs: nowMs,
        readyByAtMs: nowMs + policy.readyTimeoutMs,
      });
  }
}

/** Removes the slot; several refusals of one pool in one step count once. */
function refuse(
  policy: FleetPolicy,
  plan: FleetPlan,
  slot: Slot,
  nowMs: number,
): FleetPlan {
  const slots = plan.slots.filter(each => each.slotId !== slot.slotId);
  const isCounted = plan.refusals.some(
    each =>
      each.machineClass === slot.machineClass &&
      each.dataCentre === slot.dataCentre &&
      each.billing === slot.billing &&
      each.retryAtMs > nowMs,
  );
  const refused = isCounted ? plan : recordRefusal(policy, plan, slot, nowMs);
  return { ...refused, slots };
}

/** Puts the slot in place; an instance that was adopted meanwhile is not kept twice. */
function replace(plan: FleetPlan, slot: Slot): FleetPlan {
  const slots = plan.slots
    .filter(
      each =>
        each.slotId === slot.slotId || each.instanceId !== slot.instanceId,
    )
    .map(each => (each.slotId === slot.slotId ? slot : each));
  return { ...plan, slots };
}
