import type { Address, ChatMessage, GenerateRequest } from '../ports/index.js';
import { Priority } from '../ports/index.js';

/** A prompt prefix that lost its cached copy, or may have. */
export interface PrefixUse {
  readonly prefixId: string;
  readonly tokens: number;
  /** Requests an hour that begin with the prefix. */
  readonly usesPerHour: number;
  /** Live endpoints that still hold it. */
  readonly copies: number;
}

/** Room for warm-ups on one endpoint. */
export interface WarmUpRoom {
  readonly address: Address;
  readonly freeCacheTokens: number;
  readonly prefillTokensPerSecond: number;
}

/** One prefix to compute on one endpoint before callers ask for it. */
export interface WarmUp {
  readonly prefixId: string;
  readonly address: Address;
  readonly tokens: number;
  /** Tokens that callers' requests are expected to recompute without it. */
  readonly expectedTokens: number;
}

/** Time within which a lost prefix is either used again or no longer worth a warm-up. */
const HORIZON_HOURS = 0.25;

/**
 * Assigns the prefixes whose loss costs most recomputed tokens first, each to
 * the endpoint that would finish it soonest and has room. The cost is the
 * prefix's length times the chance of a use within `HORIZON_HOURS`, with uses
 * taken as a Poisson process; prefixes with a copy left cost nothing.
 */
export function rankWarmUps(
  prefixes: readonly PrefixUse[],
  rooms: readonly WarmUpRoom[],
): readonly WarmUp[] {
  const loads = rooms.map(room => ({ room, takenTokens: 0 }));
  const lost = prefixes
    .filter(prefix => prefix.copies === 0)
    .filter(prefix => prefix.usesPerHour > 0)
    .sort((left, right) => expectedTokens(right) - expectedTokens(left));
  return lost.flatMap(prefix => {
    const best = loads
      .filter(load => hasRoom(load, prefix))
      .sort((left, right) => finishMs(left, prefix) - finishMs(right, prefix))
      .at(0);
    if (best === undefined) return [];
    best.takenTokens += prefix.tokens;
    return {
      prefixId: prefix.prefixId,
      address: best.room.address,
      tokens: prefix.tokens,
      expectedTokens: expectedTokens(prefix),
    };
  });
}

/** Request that makes the engine compute a prefix; it yields to all other work. */
export function warmUpRequest(
  warmUp: WarmUp,
  model: string,
  messages: readonly ChatMessage[],
  deadlineAtMs: number,
): GenerateRequest {
  return {
    streamId: `warm-up-${warmUp.prefixId}`,
    model,
    messages,
    maxTokens: 1,
    sentText: '',
    sentTokens: 0,
    priority: Priority.Draft,
    deadlineAtMs,
  };
}

interface RoomLoad {
  readonly room: WarmUpRoom;
  takenTokens: number;
}

function hasRoom(load: RoomLoad, prefix: PrefixUse): boolean {
  return load.takenTokens + prefix.tokens <= load.room.freeCacheTokens;
}

function finishMs(load: RoomLoad, prefix: PrefixUse): number {
  const tokens = load.takenTokens + prefix.tokens;
  return (tokens * 1_000) / load.room.prefillTokensPerSecond;
}

function expectedTokens(prefix: PrefixUse): number {
  const chanceOfUse = 1 - Math.exp(-prefix.usesPerHour * HORIZON_HOURS);
  return prefix.tokens * chanceOfUse;
}
