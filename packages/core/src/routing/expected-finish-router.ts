import type {
  Address,
  CacheEvent,
  Endpoint,
  LoadReport,
  Random,
} from '../ports/index.js';
import { EndpointStage, promptBlockHashes } from '../ports/index.js';
import { BoundedMap } from './bounded-map.js';
import type { CandidateGroup } from './candidate-group.js';
import { EndpointTable } from './endpoint-table.js';
import type { FinishWeights } from './finish-estimate.js';
import { expectedFinishMs } from './finish-estimate.js';
import { LoadView } from './load-view.js';
import { OutlierEjection } from './outlier-ejection.js';
import { PrefixIndex } from './prefix-index.js';
import type {
  Attempt,
  AttemptResult,
  LeavingSource,
  Router,
  RouteRequest,
} from './router.js';
import { AttemptEnd } from './router.js';

export interface ExpectedFinishOptions extends FinishWeights {
  /** Endpoints drawn at random for each choice. */
  readonly randomChoices: number;
  /** Endpoints looked at because they hold the prompt's prefix. */
  readonly holderChoices: number;
  /** Endpoints looked at because the prompt's prefix hashes to them. */
  readonly homeChoices: number;
  /** Leading blocks of the prompt that name its home. */
  readonly affinityBlocks: number;
  /** Last blocks of a prompt that are taken for the request's own and never name its home. */
  readonly tailBlocks: number;
  /** Endpoints this close to the earliest finish are told apart by price. */
  readonly priceToleranceMs: number;
  /** Weight of the newest report in an endpoint's decode rate, at most 1. */
  readonly decodeRateWeight: number;
  /** Share of the uncached prefill that counts at a prompt's home, so that daemons agree on a first endpoint. */
  readonly homePrefillShare: number;
}

export const DEFAULT_EXPECTED_FINISH_OPTIONS: ExpectedFinishOptions = {
  randomChoices: 2,
  holderChoices: 4,
  homeChoices: 2,
  affinityBlocks: 16,
  tailBlocks: 4,
  priceToleranceMs: 2,
  decodeRateWeight: 0.02,
  homePrefillShare: 0.5,
  prefillWeight: 8,
  decodeContentionMs: 0.1,
};

const WAIT_SAMPLES = 8;
const MAX_KINDS = 256;
const GENERATED_WEIGHT = 0.1;
const DEFAULT_GENERATED_SHARE = 0.5;

interface Candidate {
  readonly endpoint: Endpoint;
  readonly finishMs: number;
  readonly pricePerHour: number;
}

/**
 * Chooses the endpoint with the earliest expected finish among a few: holders of
 * the prompt's prefix, its homes on a hash ring, and some drawn at random (power
 * of d choices, Mitzenmacher 2001). The cost of a choice does not depend on the
 * number of endpoints, and the draw keeps daemons with equal reports apart.
 */
export class ExpectedFinishRouter implements Router {
  private readonly table = new EndpointTable();
  private readonly loads: LoadView;
  private readonly prefixes = new PrefixIndex();
  private readonly outliers = new OutlierEjection();
  private readonly hashes = new WeakMap<RouteRequest, readonly string[]>();
  /** Blocks that an attempt's endpoint was not known to hold before it. */
  private readonly addedBlocks = new WeakMap<Attempt, readonly string[]>();
  /** Share of `maxTokens` that requests of a kind have used, averaged. */
  private readonly generatedShares = new BoundedMap<string, number>(MAX_KINDS);
  private prices: ReadonlyMap<Address, number> = new Map();

  constructor(
    private readonly random: Random,
    private readonly options = DEFAULT_EXPECTED_FINISH_OPTIONS,
  ) {
    this.loads = new LoadView(options.decodeRateWeight);
  }

  choose(request: RouteRequest, nowMs: number): Endpoint | undefined {
    const group = this.table.candidates(request.group, request.version);
    if (group === undefined) return undefined;
    const sampled = this.usable(this.sample(group, request), request, nowMs);
    const preferred = outsideAvoided(sampled, request);
    if (preferred.length > 0) return this.best(preferred, request, nowMs);
    const all = this.usable(group.all(), request, nowMs);
    const outside = outsideAvoided(all, request);
    return this.best(outside.length > 0 ? outside : all, request, nowMs);
  }

  recordDispatch(attempt: Attempt, nowMs: number): void {
    const { address, request } = attempt;
    const blockHashes = this.hashesOf(request);
    const uncached = this.uncachedTokens(address, request);
    this.loads.recordSend(address, uncached, nowMs);
    this.addedBlocks.set(attempt, this.prefixes.missing(address, blockHashes));
    this.prefixes.confirm(address, blockHashes);
    this.outliers.recordDispatch(address);
  }

  recordEnd(attempt: Attempt, result: AttemptResult, nowMs: number): void {
    const { address, request } = attempt;
    this.loads.recordEnd(address);
    this.recordVerdict(attempt, result, nowMs);
    if (result.end === AttemptEnd.Succeeded) {
      this.recordGenerated(request, result.generatedTokens);
    } else if (result.firstByteAtMs === undefined) {
      this.prefixes.refute(address, this.addedBlocks.get(attempt) ?? []);
    }
  }

  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void {
    const before = this.table.all();
    this.table.applyListing(endpoints, asOfMs);
    for (const endpoint of before) {
      if (this.table.get(endpoint.address) === undefined) {
        this.forget(endpoint.address);
      }
    }
  }

  addEndpoint(endpoint: Endpoint, asOfMs: number): void {
    this.table.add(endpoint, asOfMs);
  }

  applyPrices(prices: ReadonlyMap<Address, number>): void {
    this.prices = prices;
  }

  applyLoad(address: Address, report: LoadReport): void {
    if (this.isLive(address)) this.loads.applyReport(address, report);
  }

  applyCacheEvents(address: Address, events: readonly CacheEvent[]): void {
    if (this.isLive(address)) this.prefixes.apply(address, events);
  }

  markLeaving(address: Address, _source: LeavingSource, nowMs: number): void {
    this.table.markLeaving(address, nowMs);
    this.forget(address);
  }

  /** Mean of the waits that a few random endpoints have reported. */
  reportedWaitMs(group: string): number | undefined {
    const candidates = this.table.candidates(group);
    if (candidates === undefined) return undefined;
    const waitsMs: number[] = [];
    for (let sample = 0; sample < WAIT_SAMPLES; sample += 1) {
      const address = candidates.random(this.random)?.address ?? '';
      const waitMs = this.loads.reportedWaitMs(address);
      if (waitMs !== undefined) waitsMs.push(waitMs);
    }
    if (waitsMs.length === 0) return undefined;
    return waitsMs.reduce((sum, each) => sum + each, 0) / waitsMs.length;
  }

  endpoints(): readonly Endpoint[] {
    return this.table.all();
  }

  private sample(
    group: CandidateGroup,
    request: RouteRequest,
  ): readonly Endpoint[] {
    const { holderChoices, homeChoices, randomChoices } = this.options;
    const blockHashes = this.hashesOf(request);
    const found = this.prefixes
      .holders(blockHashes, holderChoices)
      .map(address => group.get(address));
    const key = this.keyOf(request);
    if (key !== undefined) found.push(...group.homes(key, homeChoices));
    for (let draw = 0; draw < randomChoices; draw += 1) {
      found.push(group.random(this.random));
    }
    return [...new Set(found)].filter(endpoint => endpoint !== undefined);
  }

  private usable(
    endpoints: readonly Endpoint[],
    request: RouteRequest,
    nowMs: number,
  ): readonly Endpoint[] {
    return endpoints.filter(
      ({ address }) =>
        !request.excluded.has(address) &&
        this.outliers.isAvailable(address, nowMs),
    );
  }

  private best(
    endpoints: readonly Endpoint[],
    request: RouteRequest,
    nowMs: number,
  ): Endpoint | undefined {
    const home = this.homeOf(request);
    const candidates = endpoints.map(endpoint =>
      this.candidate(endpoint, request, nowMs, home),
    );
    const earliestMs = Math.min(...candidates.map(each => each.finishMs));
    const limitMs = earliestMs + this.options.priceToleranceMs;
    const close = candidates.filter(each => each.finishMs <= limitMs);
    const lowest = Math.min(...close.map(each => each.pricePerHour));
    const cheapest = close.filter(each => each.pricePerHour === lowest);
    return cheapest[this.random.nextInteger(cheapest.length)]?.endpoint;
  }

  private candidate(
    endpoint: Endpoint,
    request: RouteRequest,
    nowMs: number,
    home: Address | undefined,
  ): Candidate {
    const { address } = endpoint;
    const share =
      this.generatedShares.get(request.kind) ?? DEFAULT_GENERATED_SHARE;
    const finishMs = expectedFinishMs(
      this.loads.estimate(address, nowMs),
      {
        uncachedTokens:
          this.uncachedTokens(address, request) *
          (address === home ? this.options.homePrefillShare : 1),
        generatedTokens: request.maxTokens * share,
      },
      this.options,
    );
    return { endpoint, finishMs, pricePerHour: this.prices.get(address) ?? 0 };
  }

  /** Home of the prompt's prefix: the first on the ring, or the next where the first has evicted it. */
  private homeOf(request: RouteRequest): Address | undefined {
    const key = this.keyOf(request);
    const group = this.table.candidates(request.group, request.version);
    if (key === undefined || group === undefined) return undefined;
    const [first, second] = group.homes(key, 2);
    const evictedBy = this.prefixes.evictedBy(key);
    const hasEvicted = first !== undefined && first.address === evictedBy;
    return (hasEvicted ? second : first)?.address;
  }

  private keyOf(request: RouteRequest): string | undefined {
    const { affinityBlocks, tailBlocks } = this.options;
    const blockHashes = this.hashesOf(request);
    const keyBlocks = Math.min(affinityBlocks, blockHashes.length - tailBlocks);
    return blockHashes[keyBlocks - 1];
  }

  private uncachedTokens(address: Address, request: RouteRequest): number {
    const cached = this.prefixes.cachedTokens(address, this.hashesOf(request));
    return Math.max(0, request.promptTokens - cached);
  }

  private hashesOf(request: RouteRequest): readonly string[] {
    let blockHashes = this.hashes.get(request);
    if (blockHashes === undefined) {
      blockHashes = promptBlockHashes(request.promptText);
      this.hashes.set(request, blockHashes);
    }
    return blockHashes;
  }

  private recordVerdict(
    { address, request }: Attempt,
    { end }: AttemptResult,
    nowMs: number,
  ): void {
    const { group, version } = request;
    if (!this.isLive(address)) return;
    switch (end) {
      case AttemptEnd.Succeeded:
        this.outliers.recordSuccess(address, group);
        return;
      case AttemptEnd.Failed:
      case AttemptEnd.Refused: {
        const size = this.table.ready(group, version).length;
        this.outliers.recordFailure(address, group, size, nowMs);
        return;
      }
      case AttemptEnd.Cancelled:
        this.outliers.recordNeutral(address);
    }
  }

  private recordGenerated(request: RouteRequest, tokens: number): void {
    if (request.maxTokens === 0) return;
    const share = tokens / request.maxTokens;
    const last = this.generatedShares.get(request.kind) ?? share;
    const average = last + GENERATED_WEIGHT * (share - last);
    this.generatedShares.set(request.kind, average);
  }

  private isLive(address: Address): boolean {
    const stage = this.table.get(address)?.stage;
    return stage === EndpointStage.Ready || stage === EndpointStage.Warming;
  }

  private forget(address: Address): void {
    this.loads.forget(address);
    this.prefixes.forgetEndpoint(address);
    this.outliers.forget(address);
  }
}

function outsideAvoided(
  endpoints: readonly Endpoint[],
  request: RouteRequest,
): readonly Endpoint[] {
  return endpoints.filter(
    endpoint => !request.avoidedDataCentres.has(endpoint.dataCentre),
  );
}
