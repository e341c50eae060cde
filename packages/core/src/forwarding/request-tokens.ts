import type { Clock, Metrics, Workspace } from '../ports/index.js';
import type { ForwardWorkspace, TokenRate } from './configuration.js';
import type { ForwardError } from './forward-error.js';
import { allowanceSpentError } from './forward-error.js';
import type { ForwardRequest } from './forward-request.js';
import type { TokenCharge, TokenGuard } from './run-context.js';
import { MAX_WRITE_DELAY_MS } from './token-bucket.js';
import type { TokenBucketLedger } from './token-bucket-ledger.js';
import type { TokenGrant } from './token-grant.js';

export interface RequestTokensDependencies {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly tokenBuckets: TokenBucketLedger;
}

/** Tokens that one request uses of a workspace's rate limit. */
interface TokenAmount {
  readonly workspace: Workspace;
  readonly rate: TokenRate;
  readonly tokens: number;
}

/** Tokens of a request at the daemon that takes it from its caller. */
export class RequestTokens implements TokenCharge {
  refusal: ForwardError | undefined;
  private readonly amount: TokenAmount | undefined;
  private grant: TokenGrant | undefined;
  private takenAtMs = 0;
  private isClosed = false;

  constructor(
    private readonly deps: RequestTokensDependencies,
    request: ForwardRequest,
    workspace: ForwardWorkspace | undefined,
  ) {
    this.amount = amountOf(request, workspace);
  }

  check(): void {
    const { amount, deps } = this;
    if (amount === undefined) return;
    const waitMs = availableInMs(deps, amount);
    if (waitMs !== undefined)
      throw allowanceSpentError(amount.workspace, waitMs);
  }

  take(): void {
    this.check();
    if (this.amount === undefined) return;
    const { rate, tokens, workspace } = this.amount;
    const { clock, tokenBuckets } = this.deps;
    this.takenAtMs = clock.nowMs();
    this.grant = tokenBuckets.deduct(workspace, rate, tokens, this.takenAtMs);
  }

  mayWrite(): boolean {
    if (this.isClosed) return false;
    const { amount, deps, grant } = this;
    const waitMs = grant?.waitMs(deps.clock.nowMs());
    if (amount === undefined || waitMs === undefined) return true;
    this.refusal = refuseLate(deps, amount, waitMs);
    return false;
  }

  recordWrite(): void {
    const { deps, grant, takenAtMs } = this;
    if (grant === undefined || grant.hasWritten) return;
    grant.recordWrite(deps.clock.nowMs());
    if (isLate(deps, takenAtMs)) countLate(deps, 'written');
  }

  close(): void {
    this.isClosed = true;
    this.grant?.close(this.deps.clock.nowMs());
  }
}

/**
 * Tokens of a request that a peer has admitted and passed on. The peer tells the
 * other daemons of them, so that they are deducted here only if this daemon is late.
 */
export class RelayedTokens implements TokenGuard {
  refusal: ForwardError | undefined;
  private readonly amount: TokenAmount | undefined;
  private readonly receivedAtMs: number;

  constructor(
    private readonly deps: RequestTokensDependencies,
    request: ForwardRequest,
    workspace: ForwardWorkspace | undefined,
  ) {
    this.amount = amountOf(request, workspace);
    this.receivedAtMs = request.receivedAtMs;
  }

  mayWrite(): boolean {
    const { amount, deps, receivedAtMs } = this;
    if (amount === undefined || !isLate(deps, receivedAtMs)) return true;
    const waitMs = availableInMs(deps, amount);
    if (waitMs === undefined) return true;
    this.refusal = refuseLate(deps, amount, waitMs);
    return false;
  }

  recordWrite(): void {
    const { amount, deps, receivedAtMs } = this;
    if (amount === undefined || !isLate(deps, receivedAtMs)) return;
    const { rate, tokens, workspace } = amount;
    const nowMs = deps.clock.nowMs();
    deps.tokenBuckets.deductForPeer(workspace, rate, tokens, nowMs);
    countLate(deps, 'written');
  }

  close(): void {
    // The peer has deducted the tokens.
  }
}

/** Returns the tokens that a request states it may use; undefined if it states none. */
export function requestedTokens({
  metadata,
}: ForwardRequest): number | undefined {
  const { usage } = metadata;
  return usage && usage.promptTokens + usage.maxTokens;
}

function amountOf(
  request: ForwardRequest,
  workspace: ForwardWorkspace | undefined,
): TokenAmount | undefined {
  if (workspace?.tokenRate === undefined) return undefined;
  const { tokenRate: rate, workspace: name } = workspace;
  const tokens = requestedTokens(request) ?? rate.plainTokens;
  return { workspace: name, rate, tokens };
}

function availableInMs(
  { clock, tokenBuckets }: RequestTokensDependencies,
  { rate, tokens, workspace }: TokenAmount,
): number | undefined {
  return tokenBuckets.waitMs(workspace, rate, tokens, clock.nowMs());
}

function isLate(
  { clock }: RequestTokensDependencies,
  admittedAtMs: number,
): boolean {
  return clock.nowMs() - admittedAtMs > MAX_WRITE_DELAY_MS;
}

function refuseLate(
  deps: RequestTokensDependencies,
  { workspace }: TokenAmount,
  waitMs: number,
): ForwardError {
  countLate(deps, 'refused');
  return allowanceSpentError(workspace, waitMs);
}

function countLate(
  { metrics }: RequestTokensDependencies,
  outcome: 'written' | 'refused',
): void {
  metrics.increment('tokens.late', 1, { outcome });
}
