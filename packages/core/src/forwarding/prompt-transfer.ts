import type { Metrics } from '../ports/index.js';
import type { AttemptEndKind } from './attempt-outcome.js';
import type { PoolMember } from './pool-member.js';
import type { PoolQuery } from './pool-query.js';
import type { PoolReservation, PromptSource } from './pool-reservation.js';

/** Transfer to one engine of what another one is expected to have cached of a prompt. */
export interface PromptTransfer {
  /** Engine from which the prompt is fetched. */
  readonly source: PoolMember;
  /** Tokens that the source is expected to have and the other engine to lack. */
  readonly tokens: number;
  /** Tokens that the source is expected to lack as well, so that they are prefilled. */
  readonly remainingTokens: number;
  /** Expected wait in milliseconds for other transfers of the two engines. */
  readonly waitMs: number;
  /** Expected time of the transfer itself in milliseconds. */
  readonly durationMs: number;
  /** Whether the source is known to have had the tokens of late, rather than likely to. */
  readonly isConfirmed: boolean;
}

/** Engines from which the prompt of one request can be fetched. */
export interface PromptSources {
  /** Returns the transfer to count on at an engine that is expected to lack `uncachedTokens` of the prompt; undefined if no source is confirmed, or prefill is not expected to take longer. */
  transferTo(
    member: PoolMember,
    uncachedTokens: number,
  ): PromptTransfer | undefined;
  /** Returns the transfer to request for the engine that gets the request; where there is none to count on, from a source that is likely to have the prompt. */
  requestFor(
    member: PoolMember,
    uncachedTokens: number,
  ): PromptTransfer | undefined;
}

/** Endpoints among which the sources of a prompt are found. */
export interface SourceCandidates {
  /** Endpoints in the order in which all daemons prefer them for the prompt. */
  readonly ranked: readonly PoolMember[];
  /** Returns whether the endpoint is listed, accepts requests, and is one that the request may use. */
  isUsable(member: PoolMember): boolean;
}

/** Receives the progress of a request whose prompt its engine has from then on. */
export interface PromptObservation {
  /** Records that the first event has arrived, so that the engine has the prompt. */
  recordFirstEvent(nowMs: number): void;
  /** Records that the request has left the engine. */
  end(): void;
}

/** Decides from which engine another one fetches a prompt that it lacks. */
export interface PromptTransferPolicy {
  /** Returns the sources for a request; undefined if there are none or its group's engines support no transfers. */
  findSources(
    query: PoolQuery,
    candidates: SourceCandidates,
    nowMs: number,
  ): PromptSources | undefined;
  /** Called with each request that is sent to an endpoint; undefined if its prompt has no shared part or its group's engines support no transfers. */
  observe(
    member: PoolMember,
    query: PoolQuery,
    transfer: PromptTransfer | undefined,
    nowMs: number,
  ): PromptObservation | undefined;
  /** Records that an endpoint has fallen silent. */
  recordSilence(member: PoolMember, nowMs: number): void;
}

/** Returns what a reservation states of a transfer. */
export function promptSourceOf({
  source,
  tokens,
}: PromptTransfer): PromptSource {
  return { endpoint: source.record, tokens };
}

/** Returns how many of the uncached tokens are to be prefilled, whatever else a source may have that is not confirmed. */
export function tokensToPrefill(
  uncachedTokens: number,
  transfer: PromptTransfer | undefined,
): number {
  return transfer?.isConfirmed === true
    ? Math.min(uncachedTokens, transfer.remainingTokens)
    : uncachedTokens;
}

/** Time of a transfer until it has arrived, in milliseconds; 0 if there is none. */
export function arrivalMs(transfer: PromptTransfer | undefined): number {
  return transfer === undefined ? 0 : transfer.waitMs + transfer.durationMs;
}

/** Counts an attempt, and the transfer that it requested, by how it ended. */
export function countAttempt(
  metrics: Metrics,
  { promptSource }: PoolReservation,
  end: AttemptEndKind,
): void {
  metrics.increment('attempts', 1, { end });
  if (promptSource === undefined) return;
  metrics.increment('promptTransfers', 1, { end });
  metrics.increment('promptTransfers.expectedTokens', promptSource.tokens);
}
