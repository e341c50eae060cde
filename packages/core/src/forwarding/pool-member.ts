import { hash32 } from '../routing/index.js';
import { EndpointHealth } from './endpoint-health.js';
import type { PoolQuery } from './endpoint-pool.js';
import type { EndpointRecord } from './endpoint-record.js';
import type { PromptPart, ReportedLoad } from './forward-request.js';
import { PromptCache, sumTokens } from './prompt-cache.js';

/** One endpoint, and what this daemon knows of it. */
export interface PoolMember {
  record: EndpointRecord;
  running: number;
  backlogTokens: number;
  reported: ReportedLoad | undefined;
  reportedAtMs: number;
  sentSinceReport: number;
  /** Moving average of the time from sending to the answer. */
  answerMs: number | undefined;
  readonly health: EndpointHealth;
  readonly cache: PromptCache;
  /** Time until which it may be used though the newest listing lacks it. */
  usableUntilMs: number;
}

/** Part of an engine's memory that keeps prompts; the rest holds running requests. */
const CACHE_SHARE = 2 / 3; // 8 running requests of 17,000 tokens take a third of the 444,000 of the users' sheet
/** Memory of an engine whose configuration is not known yet. */
const DEFAULT_MEMORY_TOKENS = 450_000; // the users' sheet
/** Time to an answer that is assumed before the first one. */
export const DEFAULT_ANSWER_MS = 20; // work of a plain request on the users' sheet
/** Part of a shared prompt that is expected to be missing at its home. */
const HOME_MISS_SHARE = 0.3; // shared tokens read again against all shared tokens in the journal's runs of quiet-1

/** A member that nothing is known of but its record and its engine's memory. */
export function newMember(
  record: EndpointRecord,
  memoryTokens = DEFAULT_MEMORY_TOKENS,
): PoolMember {
  return {
    record,
    running: 0,
    backlogTokens: 0,
    reported: undefined,
    reportedAtMs: 0,
    sentSinceReport: 0,
    answerMs: undefined,
    health: new EndpointHealth(),
    cache: new PromptCache(memoryTokens * CACHE_SHARE),
    usableUntilMs: Infinity,
  };
}

/** Whether a request may use an endpoint of this version. */
export function fitsVersion(
  { version }: EndpointRecord,
  { notVersion, onlyVersion }: PoolQuery,
): boolean {
  if (version === notVersion) return false;
  return onlyVersion === undefined || version === onlyVersion;
}

/** Expected time at a plain service, in milliseconds. */
export function serviceMs(member: PoolMember, running: number): number {
  const rounds = Math.max(1, (running + 1) / Math.max(1, member.record.slots));
  const answerMs = member.answerMs ?? DEFAULT_ANSWER_MS;
  return answerMs * rounds + running;
}

/** Tokens of a prompt that an engine is expected to have to read. */
export function expectedUncached(
  member: PoolMember,
  { promptParts, promptTokens }: PoolQuery,
  isHome: boolean,
): number {
  if (promptParts.length === 0) return promptTokens;
  const known = member.cache.uncachedTokens(promptParts);
  if (!isHome) return known;
  const shared = sumTokens(promptParts.slice(0, -1));
  const own = promptParts.at(-1)?.tokens ?? 0;
  return Math.min(known, own + shared * HOME_MISS_SHARE);
}

/**
 * The endpoint at which all daemons expect a prompt's shared parts: the highest
 * random weight (Thaler and Ravishankar, 1998) for its last shared part.
 */
export function homeOf(
  members: readonly PoolMember[],
  parts: readonly PromptPart[],
): PoolMember | undefined {
  const key = parts.at(-2)?.id;
  if (key === undefined) return undefined;
  let home: PoolMember | undefined;
  let highest = -1;
  for (const member of members) {
    const weight = hash32(`${key} ${member.record.id}`);
    if (weight <= highest) continue;
    home = member;
    highest = weight;
  }
  return home;
}
