import type { Admission, AdmissionTicket } from '@skylarkreach/core/admission';
import type { Address, Endpoint, Random } from '@skylarkreach/core/ports';
import {
  EndpointKind,
  EndpointStage,
  SeededRandom,
} from '@skylarkreach/core/ports';
import type { Attempt, Router, RouteRequest } from '@skylarkreach/core/routing';
import { AttemptEnd } from '@skylarkreach/core/routing';

import type { PrefillTotals } from './engine-model.js';
import { EngineModel } from './engine-model.js';
import { EventLoop } from './event-loop.js';
import { RunResults } from './run-results.js';
import type { WorkItem, WorkloadShape } from './workload.js';

const GROUP = 'model';
const POLL_INTERVAL_MS = 500;
const CACHE_EVENT_DELAY_MS = 500;
const CACHE_EVENT_LOSS_PROBABILITY = 0.02;
const DRAIN_MS = 120_000;

/** Injected collaborators of one simulated daemon. */
export interface SimulatedDaemonDependencies {
  readonly router: Router;
  readonly admission?: Admission;
  /** Returns the time to retry a refused attempt, or undefined to stop retrying. */
  readonly retryAtMs?: (
    item: WorkItem,
    failedAttempts: number,
    nowMs: number,
  ) => number | undefined;
}

export interface SimulationOptions {
  readonly daemons: number;
  readonly seed: number;
  /** End of the warm-up; requests that arrive earlier fill the caches and are not counted. */
  readonly measuredFromMs?: number;
  readonly maxRunning: number;
  readonly maxActive: number;
  readonly createDaemon: (
    index: number,
    loop: EventLoop,
  ) => SimulatedDaemonDependencies;
}

interface SimulatedEngine {
  readonly endpoint: Endpoint;
  readonly engine: EngineModel;
}

interface SimulatedDaemon extends SimulatedDaemonDependencies {
  readonly lastSequences: Map<Address, number>;
}

/** Simulation of one workload on several daemons, which share the engines and no other state. */
export class Simulation {
  private readonly loop = new EventLoop();
  private readonly random: Random;
  private readonly prefillTotals: PrefillTotals = {
    prefilledTokens: 0,
    recomputedTokens: 0,
    computedBlocks: new Set(),
  };
  private readonly results: RunResults;
  private readonly engines = new Map<Address, SimulatedEngine>();
  private readonly daemons: SimulatedDaemon[] = [];

  constructor(
    private readonly shape: WorkloadShape,
    private readonly options: SimulationOptions,
  ) {
    this.random = new SeededRandom(options.seed);
    this.results = new RunResults(
      this.prefillTotals,
      options.measuredFromMs ?? 0,
      shape.durationMs,
    );
    for (let index = 0; index < shape.engines; index += 1)
      this.addEngine(index);
    for (let index = 0; index < options.daemons; index += 1) {
      this.addDaemon(index);
    }
  }

  async run(items: readonly WorkItem[]): Promise<RunResults> {
    for (const item of items) {
      this.loop.schedule(item.arrivesAtMs, () => {
        const daemon =
          this.daemons[this.random.nextInteger(this.daemons.length)];
        this.loop.flushPromisesAfterEvent();
        if (daemon !== undefined) void this.serve(daemon, item);
      });
    }
    await this.loop.runUntil(this.shape.durationMs + DRAIN_MS);
    return this.results;
  }

  private addEngine(index: number): void {
    const endpoint: Endpoint = {
      address: `10.0.0.${index + 1}:8000`,
      kind: EndpointKind.Model,
      group: GROUP,
      version: 'v1',
      dataCentre: `zone-${(index % 4) + 1}`,
      instanceId: `instance-${index + 1}`,
      stage: EndpointStage.Ready,
    };
    const { cacheTokens } = this.shape;
    const { maxActive, maxRunning } = this.options;
    const limits = { cacheTokens, maxActive, maxRunning };
    const engine = new EngineModel(this.loop, limits, this.prefillTotals);
    this.engines.set(endpoint.address, { endpoint, engine });
  }

  private addDaemon(index: number): void {
    const dependencies = this.options.createDaemon(index, this.loop);
    const daemon = {
      ...dependencies,
      lastSequences: new Map<Address, number>(),
    };
    const endpoints = [...this.engines.values()].map(engine => engine.endpoint);
    daemon.router.applyListing(endpoints, 0);
    this.daemons.push(daemon);
    const firstPollMs = this.random.nextFloat() * POLL_INTERVAL_MS;
    this.loop.schedule(firstPollMs, () => {
      this.poll(daemon);
    });
  }

  /** Applies load reports at once and cache events after a delay; a lost batch makes the next poll read all events again. */
  private poll(daemon: SimulatedDaemon): void {
    const nowMs = this.loop.nowMs();
    for (const [address, { engine }] of this.engines) {
      daemon.router.applyLoad(address, engine.load(), nowMs);
      const events = engine.cacheEvents(daemon.lastSequences.get(address) ?? 0);
      const newest = events.at(-1)?.sequence;
      if (newest === undefined) continue;
      const isLost = this.random.nextFloat() < CACHE_EVENT_LOSS_PROBABILITY;
      daemon.lastSequences.set(address, isLost ? 0 : newest);
      if (isLost) continue;
      this.loop.schedule(nowMs + CACHE_EVENT_DELAY_MS, () => {
        daemon.router.applyCacheEvents(address, events);
      });
    }
    if (nowMs > this.shape.durationMs + DRAIN_MS) return;
    this.loop.schedule(nowMs + POLL_INTERVAL_MS, () => {
      this.poll(daemon);
    });
  }

  private async serve(daemon: SimulatedDaemon, item: WorkItem): Promise<void> {
    this.results.recordArrival(item);
    let ticket: AdmissionTicket | undefined;
    try {
      ticket = await daemon.admission?.admit(
        { ...item, limits: {}, group: GROUP },
        new AbortController().signal,
      );
    } catch {
      this.results.recordRefusal(item, this.loop.nowMs());
      return;
    }
    const generated = await this.dispatchWithRetries(daemon, item);
    ticket?.release(generated, this.loop.nowMs());
  }

  private async dispatchWithRetries(
    daemon: SimulatedDaemon,
    item: WorkItem,
  ): Promise<number> {
    const excluded = new Set<Address>();
    for (let failures = 1; ; failures += 1) {
      if (await this.dispatchOnce(daemon, item, excluded))
        return item.outputTokens;
      const nowMs = this.loop.nowMs();
      const retryAtMs = daemon.retryAtMs?.(item, failures, nowMs);
      if (retryAtMs === undefined) return 0;
      await this.loop.waitUntil(retryAtMs);
    }
  }

  private dispatchOnce(
    daemon: SimulatedDaemon,
    item: WorkItem,
    excluded: Set<Address>,
  ): Promise<boolean> {
    const request = createRouteRequest(item, excluded);
    const endpoint = daemon.router.choose(request, this.loop.nowMs());
    const simulatedEngine = endpoint && this.engines.get(endpoint.address);
    if (endpoint === undefined || simulatedEngine === undefined) {
      return Promise.resolve(false);
    }
    excluded.add(endpoint.address);
    this.results.recordDispatch(item);
    const attempt = {
      attemptId: `${item.requestId}.${excluded.size}`,
      address: endpoint.address,
      request,
    };
    daemon.router.recordDispatch(attempt, this.loop.nowMs());
    return this.runAttempt(
      daemon.router,
      simulatedEngine.engine,
      attempt,
      item,
    );
  }

  /** Runs one attempt until it finishes, is refused or reaches its deadline; resolves to false if it was refused. */
  private runAttempt(
    router: Router,
    engine: EngineModel,
    attempt: Attempt,
    item: WorkItem,
  ): Promise<boolean> {
    return new Promise(resolve => {
      let firstByteAtMs: number | undefined;
      let hasEnded = false;
      const endAttempt = (end: AttemptEnd, cachedTokens: number) => {
        if (hasEnded) return;
        hasEnded = true;
        const succeeded = end === AttemptEnd.Succeeded;
        const generatedTokens = succeeded ? item.outputTokens : 0;
        const result = { end, generatedTokens, cachedTokens, firstByteAtMs };
        router.recordEnd(attempt, result, this.loop.nowMs());
        this.loop.flushPromisesAfterEvent();
        resolve(end !== AttemptEnd.Refused);
      };
      const isAccepted = engine.submit({
        item,
        onFirstToken: () => {
          firstByteAtMs = this.loop.nowMs();
          this.results.recordFirstToken(item, firstByteAtMs);
        },
        onTokenGap: gapMs => {
          this.results.recordTokenGap(gapMs);
        },
        onFinish: cachedTokens => {
          this.results.recordFinish(item, this.loop.nowMs());
          endAttempt(AttemptEnd.Succeeded, cachedTokens);
        },
      });
      if (!isAccepted) {
        endAttempt(AttemptEnd.Refused, 0);
        return;
      }
      this.loop.schedule(item.deadlineAtMs, () => {
        if (hasEnded) return;
        engine.cancel(item);
        endAttempt(AttemptEnd.Cancelled, 0);
      });
    });
  }
}

function createRouteRequest(
  item: WorkItem,
  excluded: ReadonlySet<Address>,
): RouteRequest {
  return {
    requestId: item.requestId,
    workspace: item.workspace,
    kind: item.kind,
    group: GROUP,
    promptText: item.promptText,
    promptTokens: item.promptTokens,
    maxTokens: item.maxTokens,
    priority: item.priority,
    deadlineAtMs: item.deadlineAtMs,
    excluded,
    avoidedDataCentres: new Set(),
  };
}
