import type { QueuedRequest, QueueLimits } from './queued-request.js';
import { compareClasses } from './request-order.js';

/**
 * Returns the waiting requests that a new one displaces so that the limits hold;
 * undefined if the new one is the least valuable itself, or larger than the limit.
 */
export function findDisplaced(
  waiting: readonly QueuedRequest[],
  request: QueuedRequest,
  { maxBytes, maxRequests }: QueueLimits,
  nowMs: number,
): readonly QueuedRequest[] | undefined {
  if (request.bytes > maxBytes) return undefined;
  const displaced: QueuedRequest[] = [];
  let rest = waiting;
  while (
    rest.length >= maxRequests ||
    sumBytes(rest) + request.bytes > maxBytes
  ) {
    const worst = findWorst([...rest, request], nowMs);
    if (worst === undefined || worst === request) return undefined;
    displaced.push(worst);
    rest = rest.filter(each => each !== worst);
  }
  return displaced;
}

/** Returns the least valuable request: of the last class, of the workspace that has most there, the one with the latest deadline. */
function findWorst(
  requests: readonly QueuedRequest[],
  nowMs: number,
): QueuedRequest | undefined {
  const [first] = requests;
  if (first === undefined) return undefined;
  const last = requests.reduce(
    (worst, each) => (compareClasses(each, worst, nowMs) > 0 ? each : worst),
    first,
  );
  const inClass = requests.filter(
    each => compareClasses(each, last, nowMs) === 0,
  );
  const counts = new Map<string, number>();
  for (const { workspace } of inClass)
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
  const countOf = ({ workspace }: QueuedRequest) => counts.get(workspace) ?? 0;
  const compare = (one: QueuedRequest, other: QueuedRequest) =>
    countOf(one) - countOf(other) || one.deadlineAtMs - other.deadlineAtMs;
  return inClass.reduce(
    (worst, each) => (compare(each, worst) > 0 ? each : worst),
    last,
  );
}

function sumBytes(requests: readonly QueuedRequest[]): number {
  return requests.reduce((sum, { bytes }) => sum + bytes, 0);
}
