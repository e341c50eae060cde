import { EndpointHealth } from './endpoint-health.js';
import type { EndpointRecord } from './endpoint-record.js';
import type { ReportedLoad } from './forward-request.js';
import type { PoolQuery } from './pool-query.js';
import { PromptCache, sumTokens } from './prompt-cache.js';

/** Endpoint with this daemon's statistics on it. */
export interface PoolMember {
  record: EndpointRecord;
  running: number;
  backlogTokens: number;
  reportedLoad: ReportedLoad | undefined;
  loadReportedAtMs: number;
  sentSinceLoadReport: number;
  /** Moving average of the time from sending a request to its response or first event. */
  averageResponseMs: number | undefined;
  /** Time of the last response or first event. */
  respondedAtMs: number;
  readonly health: EndpointHealth;
  readonly promptCache: PromptCache;
  /** Time until which the endpoint may be used although the newest listing lacks it. */
  usableUntilMs: number;
}

/** Share of an engine's KV cache that holds cached prompts; the rest holds running requests. */
const PROMPT_CACHE_SHARE = 2 / 3; // 8 running requests of 17,000 tokens occupy a third of the 444,000 tokens that the users specify
/** KV cache capacity assumed for an engine whose configuration is not known yet. */
const DEFAULT_ENGINE_MEMORY_TOKENS = 450_000; // as the users specify
/** Response time assumed before the first response. */
const DEFAULT_RESPONSE_MS = 20; // service time of a plain request, as the users specify
/** Weight of the newest response in an endpoint's moving average. */
const RESPONSE_AVERAGE_WEIGHT = 0.1; // averages about the last ten responses, a second of traffic
/** Age from which an endpoint's load report is ignored. */
const MAX_LOAD_REPORT_AGE_MS = 1_000; // most requests take less
/** Time without a response after which the average of an idle endpoint no longer counts, so that it gets a trial. */
const AVERAGE_TTL_MS = 2_000;
/** Share of the shared parts of a prompt that is expected to be uncached at their preferred endpoint. */
const PREFERRED_MISS_SHARE = 0.3; // tokens of shared parts that engines read again, relative to all tokens of shared parts, under light load

/**
 * Creates a member without statistics. `memoryTokens` returns the KV cache capacity
 * of its engine; undefined while its configuration is not known.
 */
export function createPoolMember(
  record: EndpointRecord,
  memoryTokens: () => number | undefined = () => undefined,
): PoolMember {
  return {
    record,
    running: 0,
    backlogTokens: 0,
    reportedLoad: undefined,
    loadReportedAtMs: 0,
    sentSinceLoadReport: 0,
    averageResponseMs: undefined,
    respondedAtMs: -Infinity,
    health: new EndpointHealth(),
    promptCache: new PromptCache(
      () =>
        (memoryTokens() ?? DEFAULT_ENGINE_MEMORY_TOKENS) * PROMPT_CACHE_SHARE,
    ),
    usableUntilMs: Infinity,
  };
}

/** Returns whether the query allows the endpoint's version and data centre. */
export function matchesQuery(
  { dataCentre, version }: EndpointRecord,
  {
    allowedDataCentres,
    notVersion,
    onlyVersion,
  }: Pick<PoolQuery, 'allowedDataCentres' | 'notVersion' | 'onlyVersion'>,
): boolean {
  if (version === notVersion) return false;
  if (allowedDataCentres?.has(dataCentre) === false) return false;
  return onlyVersion === undefined || version === onlyVersion;
}

/** Returns whether the endpoint is idle and its average response time too old to count. */
export function isOnTrial(member: PoolMember, nowMs: number): boolean {
  return member.running === 0 && nowMs - member.respondedAtMs >= AVERAGE_TTL_MS;
}

/** Returns the response time to expect of an endpoint without waiting requests, in milliseconds. */
export function expectedResponseMs(member: PoolMember, nowMs: number): number {
  const averageMs = member.averageResponseMs ?? DEFAULT_RESPONSE_MS;
  return isOnTrial(member, nowMs)
    ? Math.min(averageMs, DEFAULT_RESPONSE_MS)
    : averageMs;
}

/** Adds a response to the average; the response to a trial replaces it. */
export function recordResponse(
  member: PoolMember,
  responseMs: number,
  wasOnTrial: boolean,
  nowMs: number,
): void {
  const averageMs = wasOnTrial ? undefined : member.averageResponseMs;
  const previousMs = averageMs ?? responseMs;
  member.averageResponseMs =
    previousMs + RESPONSE_AVERAGE_WEIGHT * (responseMs - previousMs);
  member.respondedAtMs = nowMs;
}

/** Returns the expected response time of a plain service in milliseconds. */
export function expectedServiceMs(
  member: PoolMember,
  running: number,
  nowMs: number,
): number {
  const slotRounds = Math.max(
    1,
    (running + 1) / Math.max(1, member.record.slots),
  );
  return expectedResponseMs(member, nowMs) * slotRounds + running;
}

/** Returns the prompt tokens that are expected to be missing from an engine's cache. */
export function expectedUncachedTokens(
  member: PoolMember,
  { promptParts, promptTokens }: PoolQuery,
  isPreferred: boolean,
): number {
  if (promptParts.length === 0) return promptTokens;
  const knownUncachedTokens = member.promptCache.uncachedTokens(promptParts);
  if (!isPreferred) return knownUncachedTokens;
  const sharedTokens = sumTokens(promptParts.slice(0, -1));
  const ownTokens = promptParts.at(-1)?.tokens ?? 0;
  return Math.min(
    knownUncachedTokens,
    ownTokens + sharedTokens * PREFERRED_MISS_SHARE,
  );
}

/** Returns whether the endpoint has reported its load of late. */
export function hasRecentReport(
  { loadReportedAtMs, reportedLoad }: PoolMember,
  nowMs: number,
): boolean {
  const ageMs = nowMs - loadReportedAtMs;
  return reportedLoad !== undefined && ageMs < MAX_LOAD_REPORT_AGE_MS;
}

/** Returns the running requests at an endpoint: own and peers', or if greater those that it reported plus those sent since. */
export function runningAt(
  member: PoolMember,
  peersRunning: number,
  nowMs: number,
): number {
  const knownRunning = member.running + peersRunning;
  const { reportedLoad } = member;
  if (reportedLoad === undefined || !hasRecentReport(member, nowMs))
    return knownRunning;
  const reportedRunning =
    reportedLoad.running + reportedLoad.waiting + member.sentSinceLoadReport;
  return Math.max(knownRunning, reportedRunning);
}
