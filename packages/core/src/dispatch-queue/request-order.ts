import type { QueuedRequest } from './queued-request.js';

/** Whether the request can still meet its latency objective if it is sent now. */
export function isUseful(
  { expectedServiceMs, objectiveAtMs }: QueuedRequest,
  nowMs: number,
): boolean {
  return nowMs + expectedServiceMs <= objectiveAtMs;
}

/** Whether the request can no longer be answered by its deadline if it is sent at `sentAtMs`. */
export function isTooLate(
  { deadlineAtMs, expectedServiceMs }: QueuedRequest,
  sentAtMs: number,
): boolean {
  return sentAtMs + expectedServiceMs >= deadlineAtMs;
}

/** Compares the classes of two requests: useful ones first, then by priority. Requests of one class compare as equal. */
export function compareClasses(
  first: QueuedRequest,
  second: QueuedRequest,
  nowMs: number,
): number {
  const byUse =
    Number(isUseful(second, nowMs)) - Number(isUseful(first, nowMs));
  return byUse === 0 ? first.priority - second.priority : byUse;
}

/** Compares two requests of one workspace: by class, then by deadline. */
export function compareRequests(
  first: QueuedRequest,
  second: QueuedRequest,
  nowMs: number,
): number {
  const byClass = compareClasses(first, second, nowMs);
  return byClass === 0 ? first.deadlineAtMs - second.deadlineAtMs : byClass;
}
