import type {
  PoolMember,
  PoolQuery,
  PromptObservation,
  PromptSources,
  PromptTransfer,
  PromptTransferPolicy,
  SourceCandidates,
  TransferCapacity,
} from '../forwarding/index.js';
import { sumTokens } from '../forwarding/index.js';
import { missShareAt } from '../placement/index.js';
import { PartHolders } from './part-holders.js';
import { MIN_TRANSFER_TOKENS, RequestSources } from './request-sources.js';
import { TransferLoad } from './transfer-load.js';

export interface PromptTransfersOptions {
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Returns how fast the engines of a group transfer prompts; undefined if they do not, or the group is not known. */
  readonly transferOf: (group: string) => TransferCapacity | undefined;
}

/** Number of engines to which this daemon sent a part that are compared for a request. */
const MAX_CONFIRMED = 3;
/** Number of engines that all daemons prefer that are, and among how many first ones they are found. */
const MAX_LIKELY = 2; // one more than the engine that gets the request
const MAX_RANKED = 6;
/** Number of transfers from one engine that this daemon has in progress. */
const MAX_SENDING = 3; // peers have as many unseen; longer queues of slow transfers lose against prefill before
/** Time since the last first event for which an engine is expected to have a part. */
const HOLDER_TTL_MS = 10_000; // by then prompts of other requests have replaced it on engines under full load
/** Share of failed attempts from which an endpoint is no source. */
const MAX_FAILURE_SHARE = 0.1; // a single failure counts for about 3 s

/**
 * Names the engine from which another one fetches the shared parts of a prompt:
 * one of those to which this daemon sent them last and that have answered since,
 * otherwise one of those that all daemons prefer for them. Meant for tens of
 * daemons before about a hundred engines, where some hundred shared parts make up
 * most of the prompts, and where a daemon knows of few of the requests of others.
 */
export class PromptTransfers implements PromptTransferPolicy {
  private readonly holders = new PartHolders();
  private readonly load = new TransferLoad();

  constructor(private readonly options: PromptTransfersOptions) {}

  findSources(
    query: PoolQuery,
    candidates: SourceCandidates,
    nowMs: number,
  ): PromptSources | undefined {
    const capacity = this.options.transferOf(query.group);
    const partId = query.promptParts.at(-2)?.id;
    if (capacity === undefined || partId === undefined) return undefined;
    const sharedTokens = sumTokens(query.promptParts.slice(0, -1));
    if (sharedTokens < MIN_TRANSFER_TOKENS) return undefined;
    const isSource = (member: PoolMember) =>
      candidates.isUsable(member) && this.mayServe(member, nowMs);
    const holders = this.holders.of(query.group, partId);
    const confirmed = holders
      .filter(each => nowMs - each.confirmedAtMs < HOLDER_TTL_MS)
      .filter(({ member }) => isSource(member))
      .slice(-MAX_CONFIRMED)
      .reverse()
      .map(({ member }) => ({
        member,
        uncachedTokens: member.promptCache.uncachedTokens(query.promptParts),
      }));
    // The part may still be in prefill where this daemon has sent it.
    const isAwaited = (member: PoolMember) =>
      holders.some(each => each.member === member && each.awaitingFirst > 0);
    const ownTokens = query.promptParts.at(-1)?.tokens ?? 0;
    const findLikely = () =>
      candidates.ranked
        .slice(0, MAX_RANKED)
        .filter(member => !isAwaited(member) && isSource(member))
        .slice(0, MAX_LIKELY)
        .map((member, rank) => ({
          member,
          uncachedTokens: ownTokens + sharedTokens * missShareAt(rank),
        }));
    return new RequestSources(confirmed, findLikely, {
      msPerToken: capacity.bytesPerToken / capacity.bytesPerMs,
      prefillTokensPerMs: this.options.prefillTokensPerMs,
      busyUntilMs: member => this.load.busyUntilMs(member),
      nowMs,
    });
  }

  observe(
    member: PoolMember,
    { group, promptParts }: PoolQuery,
    transfer: PromptTransfer | undefined,
    nowMs: number,
  ): PromptObservation | undefined {
    const partId = promptParts.at(-2)?.id;
    if (partId === undefined) return undefined;
    if (this.options.transferOf(group) === undefined) return undefined;
    const holder = this.holders.recordSent(member, partId);
    const endTransfer = transfer && this.load.start(member, transfer, nowMs);
    let isAwaited = true;
    const stopWaiting = () => {
      if (!isAwaited) return;
      isAwaited = false;
      holder.awaitingFirst -= 1;
      endTransfer?.();
    };
    return {
      recordFirstEvent: atMs => {
        stopWaiting();
        holder.confirmedAtMs = atMs;
      },
      end: stopWaiting,
    };
  }

  recordSilence(member: PoolMember, nowMs: number): void {
    this.load.recordSilence(member, nowMs);
  }

  /** Returns whether an engine neither fails nor has as many transfers as it may. */
  private mayServe(member: PoolMember, nowMs: number): boolean {
    return (
      this.load.sendingAt(member) < MAX_SENDING &&
      !this.load.isSilent(member, nowMs) &&
      member.health.failureShare(nowMs) < MAX_FAILURE_SHARE
    );
  }
}
