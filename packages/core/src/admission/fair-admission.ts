import type { Clock, Workspace } from '../ports/index.js';
import { Priority } from '../ports/index.js';
import type {
  Admission,
  AdmissionRequest,
  AdmissionTicket,
} from './admission.js';
import { AdmissionRefusedError, RefusalReason } from './admission.js';
import type { LaneState, WaitingRequest } from './admission-lane.js';
import { AdmissionLane } from './admission-lane.js';
import type { ConcurrencyOptions } from './concurrency-limit.js';
import { DEFAULT_CONCURRENCY } from './concurrency-limit.js';
import { TokenAllowance } from './token-allowance.js';

/** Tokens of prompt that cost as much as one generated token. */
const PROMPT_TOKENS_PER_GENERATED = 10;
const MIN_RETRY_DELAY_MS = 250;

/** Tells how long requests wait at the endpoints of a group. */
export interface WaitSource {
  /** Milliseconds; undefined, which counts as none, where the group's endpoints report no load. */
  reportedWaitMs(group: string): number | undefined;
}

export interface FairAdmissionOptions {
  readonly concurrency: ConcurrencyOptions;
  /** Requests of one workspace that may wait in one queue. */
  readonly maxQueuedPerWorkspace: number;
  /** Requests that may wait in one queue. */
  readonly maxQueued: number;
  /** Live daemons, which share each workspace's limits evenly. */
  /** Largest share of the time that a request can spare that it may wait; the rest covers errors of the estimate. */
  readonly maxWaitShare: number;
  /** The same for look-ups. */
  readonly maxLookupWaitShare: number;
  readonly daemonCount: () => number;
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
 * Admits by priority and fairly by workspace, up to a limit in flight that
 * follows the wait at the endpoints. A request that cannot meet its deadline is
 * refused as soon as that is known, with the time to come back.
 */
export class FairAdmission implements Admission {
  private readonly lanes = new Map<string, AdmissionLane>();
  private readonly inFlight = new Map<Workspace, number>();
  private readonly allowance = new TokenAllowance();
  private isStopping = false;

  constructor(
    private readonly clock: Clock,
    private readonly waits: WaitSource,
    private readonly options = DEFAULT_FAIR_ADMISSION,
  ) {}

  async admit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<AdmissionTicket> {
    signal.throwIfAborted();
    const nowMs = this.clock.nowMs();
    const lane = this.laneOf(request);
    this.adjust(request, lane, nowMs);
    this.checkOpen(nowMs);
    this.checkQueue(request, lane, nowMs);
    this.checkDeadline(request, lane, nowMs);
    this.checkInFlight(request, lane, nowMs);
    this.takeTokens(request, nowMs);
    this.count(request.workspace, 1);
    try {
      await this.waitForTurn(request, lane, signal);
    } catch (error) {
      this.count(request.workspace, -1);
      this.giveBack(request, demandOf(request));
      throw error;
    }
    return this.ticket(request, lane);
  }

  /** Refuses all that waits and all that comes. */
  stop(): void {
    this.isStopping = true;
    const error = this.stoppingError(this.clock.nowMs());
    for (const lane of this.lanes.values()) {
      for (const waiting of lane.drain()) waiting.refuse(error);
    }
  }

  /** Limits and queues by group. */
  dumpState(): Readonly<Record<string, LaneState>> {
    const states = [...this.lanes].map(
      ([group, lane]) => [group, lane.state()] as const,
    );
    return Object.fromEntries(states);
  }

  private async waitForTurn(
    request: AdmissionRequest,
    lane: AdmissionLane,
    signal: AbortSignal,
  ): Promise<void> {
    const settled = new AbortController();
    const turn = new Promise<void>((start, refuse) => {
      const { workspace } = request;
      const waiting: WaitingRequest = {
        request,
        workspace,
        cost: costOf(request),
        weight: this.options.weightOf(workspace),
        start,
        refuse,
      };
      lane.queueOf(request.priority).push(waiting);
      lane.startWaiting();
      this.watch(waiting, lane, AbortSignal.any([signal, settled.signal]));
    });
    try {
      await turn;
    } finally {
      settled.abort();
    }
  }

  /** Refuses the request once its deadline can no longer be met, or when its caller has gone. */
  private watch(
    waiting: WaitingRequest,
    lane: AdmissionLane,
    signal: AbortSignal,
  ): void {
    const { deadlineAtMs, kind, priority } = waiting.request;
    const nowMs = this.clock.nowMs();
    const serviceMs = lane.serviceTimes.expectedMs(kind, nowMs);
    const end = (error: Error) => {
      lane.queueOf(priority).remove(waiting);
      waiting.refuse(error);
    };
    this.clock.waitUntil(deadlineAtMs - serviceMs, signal).then(
      () => {
        end(this.deadlineError(waiting.request, lane, this.clock.nowMs()));
      },
      (error: unknown) => {
        end(error instanceof Error ? error : new Error(String(error)));
      },
    );
  }

  private ticket(
    request: AdmissionRequest,
    lane: AdmissionLane,
  ): AdmissionTicket {
    const startedAtMs = this.clock.nowMs();
    let isHeld = true;
    return {
      release: (generatedTokens, nowMs) => {
        if (!isHeld) return;
        isHeld = false;
        this.count(request.workspace, -1);
        this.giveBack(request, request.maxTokens - generatedTokens);
        lane.end(request, nowMs - startedAtMs, nowMs);
        this.adjust(request, lane, nowMs);
        lane.startWaiting();
      },
    };
  }

  private checkOpen(nowMs: number): void {
    if (this.isStopping) throw this.stoppingError(nowMs);
  }

  private checkQueue(
    request: AdmissionRequest,
    lane: AdmissionLane,
    nowMs: number,
  ): void {
    const queue = lane.queueOf(request.priority);
    const { maxQueued, maxQueuedPerWorkspace } = this.options;
    const isFull =
      queue.size >= maxQueued ||
      queue.sizeOf(request.workspace) >= maxQueuedPerWorkspace;
    if (isFull) throw this.queueFullError(request, lane, nowMs);
  }

  private checkDeadline(
    request: AdmissionRequest,
    lane: AdmissionLane,
    nowMs: number,
  ): void {
    const waitMs = lane.expectedWaitMs(request, nowMs);
    const serviceMs = lane.serviceTimes.expectedMs(request.kind, nowMs);
    const spareMs = request.deadlineAtMs - nowMs - serviceMs;
    if (spareMs < 0 || waitMs > spareMs) {
      throw this.deadlineError(request, lane, nowMs);
    }
    if (waitMs > spareMs * this.waitShareOf(request)) {
      throw this.queueFullError(request, lane, nowMs);
    }
  }

  private checkInFlight(
    request: AdmissionRequest,
    lane: AdmissionLane,
    nowMs: number,
  ): void {
    const { limits, workspace } = request;
    if (limits.inFlight === undefined) return;
    const limit = Math.ceil(limits.inFlight / this.options.daemonCount());
    const count = this.inFlight.get(workspace) ?? 0;
    if (count < limit) return;
    const serviceMs = lane.serviceTimes.expectedMs(request.kind, nowMs);
    throw new AdmissionRefusedError(
      `Workspace ${workspace} has ${count} requests in flight here, its limit; wait for one to end.`,
      RefusalReason.WorkspaceInFlight,
      nowMs + Math.max(MIN_RETRY_DELAY_MS, serviceMs / limit),
    );
  }

  private takeTokens(request: AdmissionRequest, nowMs: number): void {
    const { limits, workspace } = request;
    if (limits.tokensPerMinute === undefined) return;
    const perMinute = limits.tokensPerMinute / this.options.daemonCount();
    const retryAtMs = this.allowance.take(
      workspace,
      demandOf(request),
      perMinute,
      nowMs,
    );
    if (retryAtMs === undefined) return;
    throw new AdmissionRefusedError(
      `Workspace ${workspace} has used its tokens of this minute; wait until they are back.`,
      RefusalReason.WorkspaceTokens,
      retryAtMs,
    );
  }

  private giveBack(request: AdmissionRequest, tokens: number): void {
    if (request.limits.tokensPerMinute === undefined) return;
    this.allowance.giveBack(request.workspace, Math.max(0, tokens));
  }

  private waitShareOf(request: AdmissionRequest): number {
    const { maxLookupWaitShare, maxWaitShare } = this.options;
    const isLookup = request.priority === Priority.Lookup;
    return isLookup ? maxLookupWaitShare : maxWaitShare;
  }

  private queueFullError(
    request: AdmissionRequest,
    lane: AdmissionLane,
    nowMs: number,
  ): AdmissionRefusedError {
    return new AdmissionRefusedError(
      `The queue for ${request.priority} work is full; send the request again later.`,
      RefusalReason.QueueFull,
      this.retryAtMs(request, lane, nowMs),
    );
  }

  private deadlineError(
    request: AdmissionRequest,
    lane: AdmissionLane,
    nowMs: number,
  ): AdmissionRefusedError {
    return new AdmissionRefusedError(
      'The deadline cannot be met under the present load; send a later deadline or come back later.',
      RefusalReason.DeadlineUnreachable,
      this.retryAtMs(request, lane, nowMs),
    );
  }

  private stoppingError(nowMs: number): AdmissionRefusedError {
    return new AdmissionRefusedError(
      'This daemon is stopping; send the request again to reach another one.',
      RefusalReason.Stopping,
      nowMs,
    );
  }

  /** Time by which the requests that wait now will have been started. */
  private retryAtMs(
    request: AdmissionRequest,
    lane: AdmissionLane,
    nowMs: number,
  ): number {
    const waitMs = lane.expectedWaitMs(request, nowMs);
    return nowMs + Math.max(MIN_RETRY_DELAY_MS, waitMs);
  }

  private adjust(
    request: AdmissionRequest,
    lane: AdmissionLane,
    nowMs: number,
  ): void {
    const waitMs = this.waits.reportedWaitMs(request.group ?? '') ?? 0;
    for (const waiting of lane.adjust(waitMs, nowMs)) {
      waiting.refuse(this.deadlineError(waiting.request, lane, nowMs));
    }
  }

  private count(workspace: Workspace, change: number): void {
    const count = (this.inFlight.get(workspace) ?? 0) + change;
    if (count > 0) this.inFlight.set(workspace, count);
    else this.inFlight.delete(workspace);
  }

  private laneOf(request: AdmissionRequest): AdmissionLane {
    const group = request.group ?? '';
    let lane = this.lanes.get(group);
    if (lane === undefined) {
      lane = new AdmissionLane(this.options.concurrency);
      this.lanes.set(group, lane);
    }
    return lane;
  }
}

function demandOf(request: AdmissionRequest): number {
  return request.promptTokens + request.maxTokens;
}

/** Work of a request in generated tokens. */
function costOf(request: AdmissionRequest): number {
  const prompt = request.promptTokens / PROMPT_TOKENS_PER_GENERATED;
  return 1 + prompt + request.maxTokens;
}
