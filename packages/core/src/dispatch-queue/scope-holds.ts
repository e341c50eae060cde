import type { QueuedRequest } from './queued-request.js';
import { isUseful } from './request-order.js';

/**
 * Scopes whose endpoints may be sent no request for a while, although others of their
 * group may. A scope is the set of endpoints that home regions leave to a
 * request; there are as many as combinations of them, which are few.
 */
export class ScopeHolds {
  private readonly untilMsByScope = new Map<string, number>();

  hold(scope: string, untilMs: number): void {
    this.untilMsByScope.set(scope, untilMs);
  }

  /** Whether a request waits for its own endpoints; one that can no longer meet its objective does not. */
  isHeld(request: QueuedRequest, nowMs: number): boolean {
    const untilMs = this.untilMsByScope.get(request.scope) ?? -Infinity;
    return nowMs < untilMs && isUseful(request, nowMs);
  }

  /** Returns the requests that are not held. */
  sendable(
    waiting: readonly QueuedRequest[],
    nowMs: number,
  ): readonly QueuedRequest[] {
    for (const [scope, untilMs] of this.untilMsByScope)
      if (nowMs >= untilMs) this.untilMsByScope.delete(scope);
    return this.untilMsByScope.size === 0
      ? waiting
      : waiting.filter(each => !this.isHeld(each, nowMs));
  }
}
