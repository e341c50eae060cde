import type { FleetPlan } from './fleet-plan.js';
import type { FleetPolicy, Pool } from './fleet-policy.js';
import { poolKey, poolOf } from './fleet-policy.js';

/** Backs off from a pool, twice as long after each refusal in a row. */
export function recordRefusal(
  policy: FleetPolicy,
  plan: FleetPlan,
  pool: Pool,
  nowMs: number,
): FleetPlan {
  const known = plan.refusals.find(each => poolKey(each) === poolKey(pool));
  const failures = (known?.failures ?? 0) + 1;
  const backoffMs = Math.min(
    policy.refusalBackoffMs * 2 ** (failures - 1),
    policy.maxRefusalBackoffMs,
  );
  const retryAtMs = Math.max(known?.retryAtMs ?? 0, nowMs + backoffMs);
  return withRefusal(plan, pool, failures, retryAtMs);
}

/** Leaves a pool out until `retryAtMs`. */
export function pausePool(
  plan: FleetPlan,
  pool: Pool,
  retryAtMs: number,
): FleetPlan {
  return withRefusal(plan, pool, 1, retryAtMs);
}

/** Forgets the refusals of a pool that started an instance. */
export function clearRefusal(plan: FleetPlan, pool: Pool): FleetPlan {
  return { ...plan, refusals: refusalsOfOthers(plan, pool) };
}

function withRefusal(
  plan: FleetPlan,
  pool: Pool,
  failures: number,
  retryAtMs: number,
): FleetPlan {
  const refusal = { ...poolOf(pool), failures, retryAtMs };
  return { ...plan, refusals: [...refusalsOfOthers(plan, pool), refusal] };
}

function refusalsOfOthers(plan: FleetPlan, pool: Pool): FleetPlan['refusals'] {
  return plan.refusals.filter(each => poolKey(each) !== poolKey(pool));
}
