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
import { LoadEstimator } from './load-estimator.js';
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
  /** Number of endpoints sampled at random for each choice. */
  readonly randomChoices: number;
  /** Maximum number of endpoints considered because they cache the prompt's prefix. */
  readonly prefixHolderChoices: number;
  /** Maximum number of endpoints considered because the prompt's prefix hashes to them. */
  readonly affinityChoices: number;
  /** Maximum number of leading prompt blocks that form the affinity key. */
  readonly affinityBlocks: number;
  /** Number of trailing prompt blocks that are assumed to be unique to the request and left out of the affinity key. */
  readonly tailBlocks: number;
  /** Endpoints whose expected finish is within this time of the earliest are ranked by price. */
  readonly priceToleranceMs: number;
  /** Weight of the newest report in the moving average of an endpoint's decode rate, at most 1. */
  readonly decodeRateWeight: number;
  /** Share of the uncached prefill that counts at the prompt's affinity endpoint, so that daemons agree on the first endpoint for a prefix. */
  readonly affinityPrefillShare: number;
}

export const DEFAULT_EXPECTED_FINISH_OPTIONS: ExpectedFinishOptions = {
  randomChoices: 2,
  prefixHolderChoices: 4,
  affinityChoices: 2,
  affinityBlocks: 16,
  tailBlocks: 4,
  priceToleranceMs: 2,
  decodeRateWeight: 0.02,
  affinityPrefillShare: 0.5,
  prefillWeight: 8,
  decodeContentionMs: 0.1,
};

/** Endpoints sampled for the reported wait of a group. */
const WAIT_SAMPLES = 8;
const MAX_TRACKED_KINDS = 256;
/** Weight of the newest sample in the average share of `maxTokens` that is generated. */
const GENERATED_SHARE_EWMA_WEIGHT = 0.1;
/** Share of `maxTokens` assumed for a kind without samples. */
const DEFAULT_GENERATED_SHARE = 0.5;

interface Candidate {
  readonly endpoint: Endpoint;
  readonly finishMs: number;
  readonly pricePerHour: number;
}

/**
 * Router that chooses the endpoint with the earliest expected finish among a few
 * candidates: endpoints that cache the prompt's prefix, endpoints that the prefix
 * hashes to, and a random sample (power of d choices, Mitzenmacher 2001). The
 * cost of a choice does not depend on the number of endpoints, unless none of
 * these candidates is available outside the avoided data centres. The random
 * sample keeps daemons with the same load reports from choosing the same endpoint.
 */
export class ExpectedFinishRouter implements Router {
  private readonly table = new EndpointTable();
  private readonly loadEstimator: LoadEstimator;
  private readonly prefixIndex = new PrefixIndex();
  private readonly outlierEjection = new OutlierEjection();
  private readonly blockHashesByRequest = new WeakMap<
    RouteRequest,
    readonly string[]
  >();
  /** Blocks that were assumed cached when the attempt was dispatched, and were not known to be before. */
  private readonly assumedBlocks = new WeakMap<Attempt, readonly string[]>();
  /** Moving average of the share of `maxTokens` that requests of a kind generate. */
  private readonly generatedShareByKind = new BoundedMap<string, number>(
    MAX_TRACKED_KINDS,
  );
  private prices: ReadonlyMap<Address, number> = new Map();

  constructor(
    private readonly random: Random,
    private readonly options = DEFAULT_EXPECTED_FINISH_OPTIONS,
  ) {
    this.loadEstimator = new LoadEstimator(options.decodeRateWeight);
  }

  choose(request: RouteRequest, nowMs: number): Endpoint | undefined {
    const group = this.table.candidates(request.group, request.version);
    if (group === undefined) return undefined;
    const sampled = this.filterAvailable(
      this.sampleEndpoints(group, request),
      request,
      nowMs,
    );
    const preferred = outsideAvoidedDataCentres(sampled, request);
    if (preferred.length > 0) return this.chooseBest(preferred, request, nowMs);
    const all = this.filterAvailable(group.endpoints(), request, nowMs);
    const outside = outsideAvoidedDataCentres(all, request);
    return this.chooseBest(outside.length > 0 ? outside : all, request, nowMs);
  }

  recordDispatch(attempt: Attempt, nowMs: number): void {
    const { address, request } = attempt;
    const blockHashes = this.blockHashesOf(request);
    const uncachedTokens = this.uncachedTokens(address, request);
    this.loadEstimator.recordDispatch(address, uncachedTokens, nowMs);
    this.assumedBlocks.set(
      attempt,
      this.prefixIndex.missingBlocks(address, blockHashes),
    );
    this.prefixIndex.addBlocks(address, blockHashes);
    this.outlierEjection.recordDispatch(address);
  }

  recordEnd(attempt: Attempt, result: AttemptResult, nowMs: number): void {
    const { address, request } = attempt;
    this.loadEstimator.recordEnd(address);
    this.recordHealth(attempt, result, nowMs);
    if (result.end === AttemptEnd.Succeeded) {
      this.recordGeneratedShare(request, result.generatedTokens);
    } else if (result.firstByteAtMs === undefined) {
      this.prefixIndex.removeBlocks(
        address,
        this.assumedBlocks.get(attempt) ?? [],
      );
    }
  }

  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void {
    const before = this.table.all();
    this.table.applyListing(endpoints, asOfMs);
    for (const endpoint of before) {
      if (this.table.get(endpoint.address) === undefined) {
        this.removeEndpointState(endpoint.address);
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
    if (this.isWarmingOrReady(address))
      this.loadEstimator.applyReport(address, report);
  }

  applyCacheEvents(address: Address, events: readonly CacheEvent[]): void {
    if (this.isWarmingOrReady(address))
      this.prefixIndex.applyEvents(address, events);
  }

  markLeaving(address: Address, _source: LeavingSource, nowMs: number): void {
    this.table.markLeaving(address, nowMs);
    this.removeEndpointState(address);
  }

  /**
   * Returns the mean wait reported by a random sample of the group's endpoints, in
   * milliseconds; undefined if none of them has sent a report.
   */
  reportedWaitMs(group: string): number | undefined {
    const candidates = this.table.candidates(group);
    if (candidates === undefined) return undefined;
    const waitsMs: number[] = [];
    for (let sample = 0; sample < WAIT_SAMPLES; sample += 1) {
      const address = candidates.pickRandom(this.random)?.address ?? '';
      const waitMs = this.loadEstimator.reportedWaitMs(address);
      if (waitMs !== undefined) waitsMs.push(waitMs);
    }
    if (waitsMs.length === 0) return undefined;
    return waitsMs.reduce((sum, waitMs) => sum + waitMs, 0) / waitsMs.length;
  }

  endpoints(): readonly Endpoint[] {
    return this.table.all();
  }

  private sampleEndpoints(
    group: CandidateGroup,
    request: RouteRequest,
  ): readonly Endpoint[] {
    const { prefixHolderChoices, affinityChoices, randomChoices } =
      this.options;
    const blockHashes = this.blockHashesOf(request);
    const sampled = this.prefixIndex
      .holders(blockHashes, prefixHolderChoices)
      .map(address => group.get(address));
    const key = this.affinityKeyOf(request);
    if (key !== undefined)
      sampled.push(...group.affinityEndpoints(key, affinityChoices));
    for (let draw = 0; draw < randomChoices; draw += 1) {
      sampled.push(group.pickRandom(this.random));
    }
    return [...new Set(sampled)].filter(endpoint => endpoint !== undefined);
  }

  private filterAvailable(
    endpoints: readonly Endpoint[],
    request: RouteRequest,
    nowMs: number,
  ): readonly Endpoint[] {
    return endpoints.filter(
      ({ address }) =>
        !request.excluded.has(address) &&
        this.outlierEjection.isAvailable(address, nowMs),
    );
  }

  private chooseBest(
    endpoints: readonly Endpoint[],
    request: RouteRequest,
    nowMs: number,
  ): Endpoint | undefined {
    const affinityAddress = this.affinityAddressOf(request);
    const candidates = endpoints.map(endpoint =>
      this.evaluate(endpoint, request, nowMs, affinityAddress),
    );
    const earliestMs = Math.min(
      ...candidates.map(candidate => candidate.finishMs),
    );
    const limitMs = earliestMs + this.options.priceToleranceMs;
    const close = candidates.filter(candidate => candidate.finishMs <= limitMs);
    const lowestPrice = Math.min(
      ...close.map(candidate => candidate.pricePerHour),
    );
    const cheapest = close.filter(
      candidate => candidate.pricePerHour === lowestPrice,
    );
    return cheapest[this.random.nextInteger(cheapest.length)]?.endpoint;
  }

  private evaluate(
    endpoint: Endpoint,
    request: RouteRequest,
    nowMs: number,
    affinityAddress: Address | undefined,
  ): Candidate {
    const { address } = endpoint;
    const share =
      this.generatedShareByKind.get(request.kind) ?? DEFAULT_GENERATED_SHARE;
    const finishMs = expectedFinishMs(
      this.loadEstimator.estimate(address, nowMs),
      {
        uncachedTokens:
          this.uncachedTokens(address, request) *
          (address === affinityAddress ? this.options.affinityPrefillShare : 1),
        generatedTokens: request.maxTokens * share,
      },
      this.options,
    );
    return { endpoint, finishMs, pricePerHour: this.prices.get(address) ?? 0 };
  }

  /**
   * Returns the endpoint preferred for the prompt's prefix: the first one that it
   * hashes to, or the second if the first was the last to evict the prefix.
   */
  private affinityAddressOf(request: RouteRequest): Address | undefined {
    const key = this.affinityKeyOf(request);
    const group = this.table.candidates(request.group, request.version);
    if (key === undefined || group === undefined) return undefined;
    const [first, second] = group.affinityEndpoints(key, 2);
    const lastEvictor = this.prefixIndex.lastEvictorOf(key);
    const hasEvicted = first !== undefined && first.address === lastEvictor;
    return (hasEvicted ? second : first)?.address;
  }

  private affinityKeyOf(request: RouteRequest): string | undefined {
    const { affinityBlocks, tailBlocks } = this.options;
    const blockHashes = this.blockHashesOf(request);
    const keyBlockCount = Math.min(
      affinityBlocks,
      blockHashes.length - tailBlocks,
    );
    return blockHashes[keyBlockCount - 1];
  }

  private uncachedTokens(address: Address, request: RouteRequest): number {
    const cached = this.prefixIndex.cachedTokens(
      address,
      this.blockHashesOf(request),
    );
    return Math.max(0, request.promptTokens - cached);
  }

  private blockHashesOf(request: RouteRequest): readonly string[] {
    let blockHashes = this.blockHashesByRequest.get(request);
    if (blockHashes === undefined) {
      blockHashes = promptBlockHashes(request.promptText);
      this.blockHashesByRequest.set(request, blockHashes);
    }
    return blockHashes;
  }

  private recordHealth(
    { address, request }: Attempt,
    { end }: AttemptResult,
    nowMs: number,
  ): void {
    const { group, version } = request;
    if (!this.isWarmingOrReady(address)) return;
    switch (end) {
      case AttemptEnd.Succeeded:
        this.outlierEjection.recordSuccess(address, group);
        return;
      case AttemptEnd.Failed:
      case AttemptEnd.Refused: {
        const size = this.table.readyEndpoints(group, version).length;
        this.outlierEjection.recordFailure(address, group, size, nowMs);
        return;
      }
      case AttemptEnd.Cancelled:
        this.outlierEjection.recordInconclusive(address);
    }
  }

  private recordGeneratedShare(request: RouteRequest, tokens: number): void {
    if (request.maxTokens === 0) return;
    const share = tokens / request.maxTokens;
    const last = this.generatedShareByKind.get(request.kind) ?? share;
    const average = last + GENERATED_SHARE_EWMA_WEIGHT * (share - last);
    this.generatedShareByKind.set(request.kind, average);
  }

  private isWarmingOrReady(address: Address): boolean {
    const stage = this.table.get(address)?.stage;
    return stage === EndpointStage.Ready || stage === EndpointStage.Warming;
  }

  private removeEndpointState(address: Address): void {
    this.loadEstimator.remove(address);
    this.prefixIndex.removeEndpoint(address);
    this.outlierEjection.remove(address);
  }
}

function outsideAvoidedDataCentres(
  endpoints: readonly Endpoint[],
  request: RouteRequest,
): readonly Endpoint[] {
  return endpoints.filter(
    endpoint => !request.avoidedDataCentres.has(endpoint.dataCentre),
  );
}
