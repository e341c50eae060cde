import type { Clock, CloudClient, Lease } from '../ports/index.js';
import { PlatformError, StartOutcome } from '../ports/index.js';
import type { FleetPlan, Slot } from './fleet-plan.js';
import { clientTokenOf, SlotState } from './fleet-plan.js';
import type { FleetAction } from './fleet-planner.js';
import { FleetActionKind } from './fleet-planner.js';
import type { FleetPolicy } from './fleet-policy.js';
import type { LeaseGuard } from './lease-guard.js';
import { clearRefusal, recordRefusal } from './refusals.js';

/** Outcome of a start or stop request. */
export enum ActionOutcome {
  Started = 'started',
  Refused = 'refused',
  Stopped = 'stopped',
  /** No response or no lease; the next step tries again. */
  Unknown = 'unknown',
}

export interface ActionResult {
  readonly slot: Slot;
  readonly outcome: ActionOutcome;
  readonly instanceId?: string;
}

/** Sends the start and stop requests of a stored plan to the cloud, under a lease. */
export class ActionRunner {
  /** Time until which an earlier start request may still take effect, by slot id. */
  private readonly unresolvedUntilMs = new Map<number, number>();

  constructor(
    private readonly policy: FleetPolicy,
    private readonly cloud: CloudClient,
    private readonly clock: Clock,
    private readonly guard: LeaseGuard,
  ) {}

  run(actions: readonly FleetAction[]): Promise<readonly ActionResult[]> {
    return Promise.all(
      actions
        .filter(action => action.kind !== FleetActionKind.Drain)
        .map(action => this.runAction(action)),
    );
  }

  private async runAction({ kind, slot }: FleetAction): Promise<ActionResult> {
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
    const earlierStartsEndMs = this.earlierStartsEndAtMs(slot, lease);
    const deadlineAtMs = this.guard.callDeadlineMs();
    this.unresolvedUntilMs.set(
      slot.slotId,
      Math.max(earlierStartsEndMs, deadlineAtMs),
    );
    const result = await this.cloud.start({
      machineClass: slot.machineClass,
      dataCentre: slot.dataCentre,
      billing: slot.billing,
      clientToken: clientTokenOf(this.policy.name, slot),
      deadlineAtMs,
    });
    if (result.outcome === StartOutcome.Started) {
      this.unresolvedUntilMs.delete(slot.slotId);
      const { instanceId } = result;
      return { slot, outcome: ActionOutcome.Started, instanceId };
    }
    if (this.clock.nowMs() < earlierStartsEndMs) {
      this.unresolvedUntilMs.set(slot.slotId, earlierStartsEndMs);
      return { slot, outcome: ActionOutcome.Unknown };
    }
    this.unresolvedUntilMs.delete(slot.slotId);
    return { slot, outcome: ActionOutcome.Refused };
  }

  /**
   * Returns the time until which an earlier start of the slot may still take
   * effect. A start sent by an earlier holder may do so until that lease has expired.
   */
  private earlierStartsEndAtMs(slot: Slot, lease: Lease): number {
    const own = this.unresolvedUntilMs.get(slot.slotId) ?? 0;
    const isInherited = slot.fencingNumber < lease.fencingNumber;
    return isInherited ? Math.max(own, this.guard.earlierCallsEndAtMs()) : own;
  }
}

/** Returns the plan updated with the results of its actions. */
export function applyActionResults(
  policy: FleetPolicy,
  plan: FleetPlan,
  results: readonly ActionResult[],
  nowMs: number,
): FleetPlan {
  return results.reduce(
    (next, result) => applyActionResult(policy, next, result, nowMs),
    plan,
  );
}

function applyActionResult(
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
      return removeRefusedSlot(policy, plan, slot, nowMs);
    case ActionOutcome.Stopped:
      return replaceSlot(plan, { ...slot, state: SlotState.Stopped });
    case ActionOutcome.Started:
      return replaceSlot(clearRefusal(plan, slot), {
        ...slot,
        state: SlotState.Started,
        instanceId: result.instanceId,
        startedAtMs: nowMs,
        readyByAtMs: nowMs + policy.readyTimeoutMs,
      });
  }
}

/** Removes the refused slot. Several refusals of one pool in the same step count once in its backoff. */
function removeRefusedSlot(
  policy: FleetPolicy,
  plan: FleetPlan,
  slot: Slot,
  nowMs: number,
): FleetPlan {
  const slots = plan.slots.filter(other => other.slotId !== slot.slotId);
  const isInBackoff = plan.refusals.some(
    refusal =>
      refusal.machineClass === slot.machineClass &&
      refusal.dataCentre === slot.dataCentre &&
      refusal.billing === slot.billing &&
      refusal.retryAtMs > nowMs,
  );
  const withRefusal = isInBackoff
    ? plan
    : recordRefusal(policy, plan, slot, nowMs);
  return { ...withRefusal, slots };
}

/** Replaces the slot by its new state and removes any other slot that adopted the same instance in the meantime. */
function replaceSlot(plan: FleetPlan, slot: Slot): FleetPlan {
  const slots = plan.slots
    .filter(
      other =>
        other.slotId === slot.slotId || other.instanceId !== slot.instanceId,
    )
    .map(other => (other.slotId === slot.slotId ? slot : other));
  return { ...plan, slots };
}
