import type { QueuedRequest } from './queued-request.js';
import { compareClasses, compareRequests } from './request-order.js';
import type { WorkspaceShares } from './workspace-shares.js';
import { costOf } from './workspace-shares.js';

/**
 * Returns waiting requests in the order in which they would be sent if no other
 * arrived: by class, then by the start tags that they would get as the workspaces
 * take turns (start-time fair queueing), then by deadline. Meant for a few hundred
 * requests, some times a second.
 */
export function orderByTurns(
  requests: readonly QueuedRequest[],
  shares: WorkspaceShares,
  nowMs: number,
): readonly QueuedRequest[] {
  const nextStartMs = new Map<string, number>();
  const tagged = [...requests]
    .sort((first, second) => compareRequests(first, second, nowMs))
    .map(request => {
      const { workspace } = request;
      const startMs = nextStartMs.get(workspace) ?? shares.startTag(workspace);
      nextStartMs.set(workspace, startMs + costOf(request));
      return { request, startMs };
    });
  tagged.sort(
    (first, second) =>
      compareClasses(first.request, second.request, nowMs) ||
      first.startMs - second.startMs ||
      first.request.deadlineAtMs - second.request.deadlineAtMs,
  );
  return tagged.map(({ request }) => request);
}
