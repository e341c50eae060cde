import type { FleetPlan, Refusal } from './fleet-plan.js';
import type { FleetPolicy, Pool } from './fleet-policy.js';
import { poolKey, poolOf } from './fleet-policy.js';

/** Records a refused start. The backoff of the pool doubles with every consecutive refusal, up to `maxRefusalBackoffMs`. */
export function recordRefusal(
  policy: FleetPolicy,
  plan: FleetPlan,
  pool: Pool,
  nowMs: number,
): FleetPlan {
  const known = findRefusal(plan, pool);
  const failures = (known?.failures ?? 0) + 1;
  const backoffMs = Math.min(
    policy.refusalBackoffMs * 2 ** (failures - 1),
    policy.maxRefusalBackoffMs,
  );
  const retryAtMs = Math.max(known?.retryAtMs ?? 0, nowMs + backoffMs);
  return replaceRefusal(plan, pool, failures, retryAtMs);
}

/** Excludes a pool from new starts until `retryAtMs`; a longer backoff stays in force. */
export function pausePool(
  plan: FleetPlan,
  pool: Pool,
  retryAtMs: number,
): FleetPlan {
  const known = findRefusal(plan, pool);
  return replaceRefusal(
    plan,
    pool,
    known?.failures ?? 1,
    Math.max(known?.retryAtMs ?? 0, retryAtMs),
  );
}

/** Clears the backoff of a pool after a successful start. */
export function clearRefusal(plan: FleetPlan, pool: Pool): FleetPlan {
  return { ...plan, refusals: refusalsOfOtherPools(plan, pool) };
}

function findRefusal(plan: FleetPlan, pool: Pool): Refusal | undefined {
  return plan.refusals.find(refusal => poolKey(refusal) === poolKey(pool));
}

function replaceRefusal(
  plan: FleetPlan,
  pool: Pool,
  failures: number,
  retryAtMs: number,
): FleetPlan {
  const refusal = { ...poolOf(pool), failures, retryAtMs };
  return { ...plan, refusals: [...refusalsOfOtherPools(plan, pool), refusal] };
}

function refusalsOfOtherPools(
  plan: FleetPlan,
  pool: Pool,
): FleetPlan['refusals'] {
  return plan.refusals.filter(refusal => poolKey(refusal) !== poolKey(pool));
}
