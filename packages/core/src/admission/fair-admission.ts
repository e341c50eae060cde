import type { Clock, Workspace } from '../ports/index.js';
import { Priority } from '../ports/index.js';
import type {
  Admission,
  AdmissionRequest,
  AdmissionTicket,
} from './admission.js';
import { AdmissionRefusedError, RefusalReason } from './admission.js';
import type { ConcurrencyOptions } from './concurrency-limit.js';
import { DEFAULT_CONCURRENCY } from './concurrency-limit.js';
import type { GroupAdmissionState, WaitingRequest } from './group-scheduler.js';
import { GroupScheduler } from './group-scheduler.js';
import { TokenBuckets } from './token-buckets.js';

/** Number of prompt tokens that cost as much as one generated token. */
const PROMPT_TOKENS_PER_GENERATED_TOKEN = 10;
const MIN_RETRY_DELAY_MS = 250;

/** Source of the wait at the endpoints of a group. */
export interface WaitSource {
  /** Returns the wait in milliseconds; undefined, which counts as 0, if the group's endpoints report no load. */
  reportedWaitMs(group: string): number | undefined;
}

export interface FairAdmissionOptions {
  readonly concurrency: ConcurrencyOptions;
  /** Maximum number of requests of one workspace in one queue. */
  readonly maxQueuedPerWorkspace: number;
  /** Maximum number of requests in one queue. */
  readonly maxQueued: number;
  /** Maximum share of the time to the deadline, less the service time, that a request may be expected to wait; the rest covers estimation errors. */
  readonly maxWaitShare: number;
  /** Same as `maxWaitShare`, for look-ups. */
  readonly maxLookupWaitShare: number;
  /** Number of live daemons, which share each workspace's limits evenly. */
  readonly daemonCount: () => number;
  /** Weight of the workspace in fair queueing, above 0. */
  readonly weightOf: (workspace: Workspace) => number;
}

export const DEFAULT_FAIR_ADMISSION: FairAdmissionOptions = {
  concurrency: DEFAULT_CONCURRENCY,
  maxQueuedPerWorkspace: 256,
  maxQueued: 1_024,
  maxWaitShare: 0.25,
  maxLookupWaitShare: 0.1,
  daemonCount: () => 1,
  weightOf: () => 1,
};

/**
 * Admission control by priority, with fair queueing between workspaces, up to a
 * limit of requests in flight that adapts to the wait at the endpoints. A request
 * that cannot meet its deadline is refused as soon as that is known, with the
 * earliest time to retry.
 */
export class FairAdmission implements Admission {
  private readonly schedulersByGroup = new Map<string, GroupScheduler>();
  private readonly inFlightByWorkspace = new Map<Workspace, number>();
  private readonly tokenBuckets = new TokenBuckets();
  private isStopping = false;

  constructor(
    private readonly clock: Clock,
    private readonly waitSource: WaitSource,
    private readonly options = DEFAULT_FAIR_ADMISSION,
  ) {}

  async admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<AdmissionTicket> {
    signal.throwIfAborted();
    const nowMs = this.clock.nowMs();
    const scheduler = this.schedulerOf(request);
    this.adjustLimit(request, scheduler, nowMs);
    this.checkNotStopping(nowMs);
    this.checkQueueLength(request, scheduler, nowMs);
    this.checkDeadline(request, scheduler, nowMs);
    this.checkInFlightLimit(request, scheduler, nowMs);
    this.reserveTokens(request, nowMs);
    this.changeInFlight(request.workspace, 1);
    try {
      await this.waitInQueue(request, scheduler, signal);
    } catch (error) {
      this.changeInFlight(request.workspace, -1);
      this.refundTokens(request, reservedTokensOf(request));
      throw error;
    }
    return this.createTicket(request, scheduler);
  }

  /** Refuses all queued and all later requests. */
  stop(): void {
    this.isStopping = true;
    const error = this.stoppingError(this.clock.nowMs());
    for (const scheduler of this.schedulersByGroup.values()) {
      for (const waiting of scheduler.drain()) waiting.refuse(error);
    }
  }

  /** Returns the concurrency limit, requests in flight and queue length by group. */
  dumpState(): Readonly<Record<string, GroupAdmissionState>> {
    const states = [...this.schedulersByGroup].map(
      ([group, scheduler]) => [group, scheduler.state()] as const,
    );
    return Object.fromEntries(states);
  }

  private async waitInQueue(
    request: AdmissionRequest,
    scheduler: GroupScheduler,
    signal: AbortSignal,
  ): Promise<void> {
    const settled = new AbortController();
    const started = new Promise<void>((start, refuse) => {
      const { workspace } = request;
      const waiting: WaitingRequest = {
        request,
        workspace,
        cost: costOf(request),
        weight: this.options.weightOf(workspace),
        start,
        refuse,
      };
      scheduler.queueOf(request.priority).push(waiting);
      scheduler.startWaiting();
      this.refuseWhenUnreachable(
        waiting,
        scheduler,
        AbortSignal.any([signal, settled.signal]),
      );
    });
    try {
      await started;
    } finally {
      settled.abort();
    }
  }

  /** Refuses the queued request once its deadline can no longer be met, or when its caller aborts. */
  private refuseWhenUnreachable(
    waiting: WaitingRequest,
    scheduler: GroupScheduler,
    signal: AbortSignal,
  ): void {
    const { deadlineAtMs, kind, priority } = waiting.request;
    const nowMs = this.clock.nowMs();
    const serviceMs = scheduler.serviceTimesByKind.expectedMs(kind, nowMs);
    const refuse = (error: Error) => {
      scheduler.queueOf(priority).remove(waiting);
      waiting.refuse(error);
    };
    this.clock.waitUntil(deadlineAtMs - serviceMs, signal).then(
      () => {
        refuse(
          this.deadlineError(waiting.request, scheduler, this.clock.nowMs()),
        );
      },
      (error: unknown) => {
        refuse(error instanceof Error ? error : new Error(String(error)));
      },
    );
  }

  private createTicket(
    request: AdmissionRequest,
    scheduler: GroupScheduler,
  ): AdmissionTicket {
    const startedAtMs = this.clock.nowMs();
    let isHeld = true;
    return {
      release: (generatedTokens, nowMs) => {
        if (!isHeld) return;
        isHeld = false;
        this.changeInFlight(request.workspace, -1);
        this.refundTokens(request, request.maxTokens - generatedTokens);
        scheduler.recordEnd(request, nowMs - startedAtMs, nowMs);
        this.adjustLimit(request, scheduler, nowMs);
        scheduler.startWaiting();
      },
    };
  }

  private checkNotStopping(nowMs: number): void {
    if (this.isStopping) throw this.stoppingError(nowMs);
  }

  private checkQueueLength(
    request: AdmissionRequest,
    scheduler: GroupScheduler,
    nowMs: number,
  ): void {
    const queue = scheduler.queueOf(request.priority);
    const { maxQueued, maxQueuedPerWorkspace } = this.options;
    const isFull =
      queue.size >= maxQueued ||
      queue.sizeOf(request.workspace) >= maxQueuedPerWorkspace;
    if (isFull) throw this.queueFullError(request, scheduler, nowMs);
  }

  private checkDeadline(
    request: AdmissionRequest,
    scheduler: GroupScheduler,
    nowMs: number,
  ): void {
    const waitMs = scheduler.expectedWaitMs(request, nowMs);
    const serviceMs = scheduler.serviceTimesByKind.expectedMs(
      request.kind,
      nowMs,
    );
    const spareMs = request.deadlineAtMs - nowMs - serviceMs;
    if (spareMs < 0 || waitMs > spareMs) {
      throw this.deadlineError(request, scheduler, nowMs);
    }
    if (waitMs > spareMs * this.maxWaitShareOf(request)) {
      throw this.queueFullError(request, scheduler, nowMs);
    }
  }

  private checkInFlightLimit(
    request: AdmissionRequest,
    scheduler: GroupScheduler,
    nowMs: number,
  ): void {
    const { limits, workspace } = request;
    if (limits.inFlight === undefined) return;
    const limit = Math.ceil(limits.inFlight / this.options.daemonCount());
    const count = this.inFlightByWorkspace.get(workspace) ?? 0;
    if (count < limit) return;
    const serviceMs = scheduler.serviceTimesByKind.expectedMs(
      request.kind,
      nowMs,
    );
    throw new AdmissionRefusedError(
      `Workspace ${workspace} has ${count} requests in flight on this daemon, which is its limit; wait until one of them has ended.`,
      RefusalReason.WorkspaceInFlight,
      nowMs + Math.max(MIN_RETRY_DELAY_MS, serviceMs / limit),
    );
  }

  private reserveTokens(request: AdmissionRequest, nowMs: number): void {
    const { limits, workspace } = request;
    if (limits.tokensPerMinute === undefined) return;
    const perMinute = limits.tokensPerMinute / this.options.daemonCount();
    const retryAtMs = this.tokenBuckets.reserve(
      workspace,
      reservedTokensOf(request),
      perMinute,
      nowMs,
    );
    if (retryAtMs === undefined) return;
    throw new AdmissionRefusedError(
      `Workspace ${workspace} has reached its limit of tokens per minute; wait until tokens are available again.`,
      RefusalReason.WorkspaceTokens,
      retryAtMs,
    );
  }

  private refundTokens(request: AdmissionRequest, tokens: number): void {
    if (request.limits.tokensPerMinute === undefined) return;
    this.tokenBuckets.refund(request.workspace, Math.max(0, tokens));
  }

  private maxWaitShareOf(request: AdmissionRequest): number {
    const { maxLookupWaitShare, maxWaitShare } = this.options;
    const isLookup = request.priority === Priority.Lookup;
    return isLookup ? maxLookupWaitShare : maxWaitShare;
  }

  private queueFullError(
    request: AdmissionRequest,
    scheduler: GroupScheduler,
    nowMs: number,
  ): AdmissionRefusedError {
    return new AdmissionRefusedError(
      `The queue for ${request.priority} requests is full; send the request again later.`,
      RefusalReason.QueueFull,
      this.retryAtMs(request, scheduler, nowMs),
    );
  }

  private deadlineError(
    request: AdmissionRequest,
    scheduler: GroupScheduler,
    nowMs: number,
  ): AdmissionRefusedError {
    return new AdmissionRefusedError(
      'The deadline cannot be met under the present load; send a later deadline or send the request again later.',
      RefusalReason.DeadlineUnreachable,
      this.retryAtMs(request, scheduler, nowMs),
    );
  }

  private stoppingError(nowMs: number): AdmissionRefusedError {
    return new AdmissionRefusedError(
      'This daemon is stopping; send the request again to reach another one.',
      RefusalReason.Stopping,
      nowMs,
    );
  }

  /** Returns the expected time by which the requests queued now will have been started. */
  private retryAtMs(
    request: AdmissionRequest,
    scheduler: GroupScheduler,
    nowMs: number,
  ): number {
    const waitMs = scheduler.expectedWaitMs(request, nowMs);
    return nowMs + Math.max(MIN_RETRY_DELAY_MS, waitMs);
  }

  private adjustLimit(
    request: AdmissionRequest,
    scheduler: GroupScheduler,
    nowMs: number,
  ): void {
    const waitMs = this.waitSource.reportedWaitMs(request.group ?? '') ?? 0;
    for (const waiting of scheduler.adjustLimit(waitMs, nowMs)) {
      waiting.refuse(this.deadlineError(waiting.request, scheduler, nowMs));
    }
  }

  private changeInFlight(workspace: Workspace, change: number): void {
    const count = (this.inFlightByWorkspace.get(workspace) ?? 0) + change;
    if (count > 0) this.inFlightByWorkspace.set(workspace, count);
    else this.inFlightByWorkspace.delete(workspace);
  }

  private schedulerOf(request: AdmissionRequest): GroupScheduler {
    const group = request.group ?? '';
    let scheduler = this.schedulersByGroup.get(group);
    if (scheduler === undefined) {
      scheduler = new GroupScheduler(this.options.concurrency);
      this.schedulersByGroup.set(group, scheduler);
    }
    return scheduler;
  }
}

/** Returns the tokens that a request reserves, assuming that it generates `maxTokens`. */
function reservedTokensOf(request: AdmissionRequest): number {
  return request.promptTokens + request.maxTokens;
}

/** Returns the cost of a request in generated tokens. */
function costOf(request: AdmissionRequest): number {
  const prompt = request.promptTokens / PROMPT_TOKENS_PER_GENERATED_TOKEN;
  return 1 + prompt + request.maxTokens;
}
