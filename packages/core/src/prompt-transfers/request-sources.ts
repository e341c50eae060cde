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

/** Source with what does not depend on the endpoint that gets the request. */
interface ComparedSource {
  readonly source: PoolMember;
  readonly missingTokens: number;
  readonly sourceWaitMs: number;
}

/** Sources for the prompt of one request, compared for each endpoint that may get it, some hundred times a request. */
export class RequestSources implements PromptSources {
  private readonly sources: readonly ComparedSource[];

  constructor(
    sources: readonly SourceOptions[],
    private readonly estimates: TransferEstimates,
  ) {
    this.sources = sources.map(({ member, uncachedTokens }) => ({
      source: member,
      missingTokens: uncachedTokens,
      sourceWaitMs: this.waitMs(member),
    }));
  }

  transferTo(
    member: PoolMember,
    uncachedTokens: number,
  ): PromptTransfer | undefined {
    if (uncachedTokens < MIN_TRANSFER_TOKENS) return undefined;
    const { msPerToken, prefillTokensPerMs } = this.estimates;
    const ownWaitMs = this.waitMs(member);
    let best: PromptTransfer | undefined;
    let bestSavedMs = 0;
    for (const { missingTokens, source, sourceWaitMs } of this.sources) {
      const tokens = uncachedTokens - missingTokens;
      if (tokens < MIN_TRANSFER_TOKENS || source === member) continue;
      if (source.record.version !== member.record.version) continue;
      const isRemote = source.record.dataCentre !== member.record.dataCentre;
      const durationMs = tokens * msPerToken * (isRemote ? REMOTE_FACTOR : 1);
      const waitMs = Math.max(ownWaitMs, sourceWaitMs);
      const savedMs =
        tokens / prefillTokensPerMs - (waitMs + durationMs) * MIN_GAIN;
      if (!(savedMs > bestSavedMs)) continue;
      bestSavedMs = savedMs;
      best = { source, tokens, waitMs, durationMs };
    }
    return best;
  }

  /** Returns the time until the known transfers of an engine end. */
  private waitMs(member: PoolMember): number {
    const { busyUntilMs, nowMs } = this.estimates;
    return Math.max(0, busyUntilMs(member) - nowMs);
  }
}
