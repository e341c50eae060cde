import type {
  PoolMember,
  PromptSources,
  PromptTransfer,
} from '../forwarding/index.js';

/** Engine from which a prompt can be fetched. */
export interface SourceOptions {
  readonly member: PoolMember;
  /** Tokens of the prompt that are expected to be missing there. */
  readonly uncachedTokens: number;
}

export interface TransferEstimates {
  /** Time to transfer a token within a data centre, in milliseconds. */
  readonly msPerToken: number;
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly prefillTokensPerMs: number;
  /** Returns when the known transfers of an engine end. */
  readonly busyUntilMs: (member: PoolMember) => number;
  readonly nowMs: number;
}

/** Fewest tokens for which a source is named. */
export const MIN_TRANSFER_TOKENS = 512; // their prefill takes at most 11 ms, a few decoding steps
/** Time of prefill relative to that of the transfer from which a transfer is worth its risk. */
const MIN_GAIN = 1.1; // a fetch from an engine that lacks the part costs next to nothing
/** Time of a transfer between data centres relative to one within a data centre. */
const REMOTE_FACTOR = 2; // as the users specify

/** Sources for the prompt of one request, compared for each endpoint that may get it, some hundred times a request. */
export class RequestSources implements PromptSources {
  /** `findLikely` returns the engines that are likely to have the prompt, which this daemon does not know. */
  constructor(
    private readonly confirmed: readonly SourceOptions[],
    private readonly findLikely: () => readonly SourceOptions[],
    private readonly estimates: TransferEstimates,
  ) {}

  transferTo(
    member: PoolMember,
    uncachedTokens: number,
  ): PromptTransfer | undefined {
    return this.best(this.confirmed, true, member, uncachedTokens);
  }

  requestFor(
    member: PoolMember,
    uncachedTokens: number,
  ): PromptTransfer | undefined {
    return (
      this.transferTo(member, uncachedTokens) ??
      this.best(this.findLikely(), false, member, uncachedTokens)
    );
  }

  /** Returns the transfer that saves most time; undefined if none saves any. */
  private best(
    sources: readonly SourceOptions[],
    isConfirmed: boolean,
    member: PoolMember,
    uncachedTokens: number,
  ): PromptTransfer | undefined {
    if (uncachedTokens < MIN_TRANSFER_TOKENS) return undefined;
    const { msPerToken, prefillTokensPerMs } = this.estimates;
    let best: PromptTransfer | undefined;
    let bestSavedMs = 0;
    for (const { member: source, uncachedTokens: remainingTokens } of sources) {
      const tokens = uncachedTokens - remainingTokens;
      if (tokens < MIN_TRANSFER_TOKENS || source === member) continue;
      if (source.record.version !== member.record.version) continue;
      const isRemote = source.record.dataCentre !== member.record.dataCentre;
      const durationMs = tokens * msPerToken * (isRemote ? REMOTE_FACTOR : 1);
      const waitMs = this.waitMs(source, member);
      const savedMs =
        tokens / prefillTokensPerMs - (waitMs + durationMs) * MIN_GAIN;
      if (!(savedMs > bestSavedMs)) continue;
      bestSavedMs = savedMs;
      const times = { waitMs, durationMs };
      best = { source, tokens, remainingTokens, ...times, isConfirmed };
    }
    return best;
  }

  /** Returns the time until the known transfers of both engines end. */
  private waitMs(source: PoolMember, member: PoolMember): number {
    const { busyUntilMs, nowMs } = this.estimates;
    const freeAtMs = Math.max(busyUntilMs(source), busyUntilMs(member));
    return Math.max(0, freeAtMs - nowMs);
  }
}
