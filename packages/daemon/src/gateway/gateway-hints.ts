import type { BrittleEndpoints } from '@skylarkreach/core/brittle-endpoints';
import type { ColdStarts } from '@skylarkreach/core/cold-starts';
import type { FencingToken } from '@skylarkreach/core/duties';
import type { EndpointLimits } from '@skylarkreach/core/endpoint-limits';
import type {
  EndpointPool,
  LeavingEndpoints,
  TokenBucketLedger,
} from '@skylarkreach/core/forwarding';
import type { DaemonHints, ReachabilityHint } from '@skylarkreach/core/hints';
import type { LoadReports } from '@skylarkreach/core/placement';
import type { RequestQuarantine } from '@skylarkreach/core/quarantine';
import type { EndpointReachability } from '@skylarkreach/core/reachability';
import type { RolloutRegistry } from '@skylarkreach/core/rollouts';

import type { ClusterHooks, GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';
import type { GatewayDuties } from './gateway-duties.js';

export interface GatewayHintsDependencies {
  readonly pool: EndpointPool;
  readonly tokenBuckets: TokenBucketLedger;
  readonly rollouts: RolloutRegistry;
  readonly quarantine: RequestQuarantine;
  readonly endpointLimits: EndpointLimits;
  readonly brittleEndpoints: BrittleEndpoints;
  readonly leavingEndpoints: LeavingEndpoints;
  readonly coldStarts: ColdStarts;
  /** Undefined if requests are not placed by work. */
  readonly loadReports: LoadReports | undefined;
  readonly reachability: EndpointReachability;
  readonly duties: GatewayDuties;
  readonly cluster: () => GatewayCluster;
  /** Version of the endpoint list in use. */
  readonly endpointsVersion: () => number;
  /** Latest start of a successful read of the endpoint list by a daemon that this one knows of; -Infinity before the first. */
  readonly endpointReadAtMs: () => number;
  /** Latest time at which the operators' state was confirmed, likewise. */
  readonly operatorReadAtMs: () => number;
  readonly configurationVersion: () => number;
  /** Version of the evacuations that this daemon holds; undefined if it lacks some. */
  readonly evacuationsVersion: () => number | undefined;
}

/** Builds the hints that this daemon sends to peers, and applies those it receives. */
export class GatewayHints implements ClusterHooks {
  private readonly startedAtMs: number;
  private readonly lifetime: string;
  private sequence = 0;
  /** Lease for the duties that this daemon held last. */
  private heldLease: FencingToken | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly deps: GatewayHintsDependencies,
  ) {
    this.startedAtMs = context.clock.nowMs();
    this.lifetime = deps.duties.usageLedger.lifetime;
  }

  ownHints(): DaemonHints {
    const {
      brittleEndpoints,
      duties,
      endpointLimits,
      leavingEndpoints,
      pool,
      quarantine,
      rollouts,
      tokenBuckets,
    } = this.deps;
    this.sequence += 1;
    const nowMs = this.context.clock.nowMs();
    this.recordOwnLease(nowMs);
    const endpointReadAgeMs = ageMs(nowMs, this.deps.endpointReadAtMs());
    const operatorReadAgeMs = ageMs(nowMs, this.deps.operatorReadAtMs());
    const evacuationsVersion = this.deps.evacuationsVersion();
    const dutyLease = this.deps.cluster().hintBoard.dutyLease.hint(nowMs);
    const usageReportedBefore = duties.usageLedger.firstUnreportedId;
    return {
      daemonId: this.context.settings.identity.daemonId,
      lifetime: this.lifetime,
      sequence: this.sequence,
      ageMs: nowMs - this.startedAtMs,
      wallMs: Date.now(),
      work: Object.fromEntries(pool.ownLoad()),
      grantedTokens: tokenBuckets.grantedTotals(),
      passedOnGrants: tokenBuckets.grantsToPassOn(nowMs),
      usage: duties.usageLedger.ownUsage(),
      ...(usageReportedBefore !== undefined && { usageReportedBefore }),
      endpointsVersion: this.deps.endpointsVersion(),
      ...(Number.isFinite(endpointReadAgeMs) && { endpointReadAgeMs }),
      configurationVersion: this.deps.configurationVersion(),
      ...(Number.isFinite(operatorReadAgeMs) && { operatorReadAgeMs }),
      ...(evacuationsVersion !== undefined && { evacuationsVersion }),
      ordersRevision: rollouts.newestRevision,
      ...(dutyLease && { dutyLease }),
      rollouts: rollouts.hints(),
      quarantine: quarantine.hints(),
      endpointLimits: endpointLimits.hints(),
      brittleEndpoints: brittleEndpoints.hints(),
      leavingEndpoints: leavingEndpoints.hints(),
      coldEndpoints: this.deps.coldStarts.hints(),
      ...(this.deps.loadReports && {
        loadReports: this.deps.loadReports.hints(),
      }),
      reachability: reachabilityHints(this.deps.reachability, nowMs),
      takesUsageCounts: true,
      collectsUsage: this.isUsageCollected(),
      holdsDuties: duties.dutyHolder.currentToken() !== undefined,
    };
  }

  hintsForDutyHolder(): Partial<DaemonHints> {
    const { firstEvents } = this.deps.duties;
    return firstEvents === undefined
      ? {}
      : { firstEvents: firstEvents.hints() };
  }

  applyHints(hints: DaemonHints): void {
    const {
      brittleEndpoints,
      duties,
      endpointLimits,
      leavingEndpoints,
      pool,
      quarantine,
      rollouts,
    } = this.deps;
    const { hintBoard } = this.deps.cluster();
    const nowMs = this.context.clock.nowMs();
    duties.trueTime.observe(hints.daemonId, hints.wallMs);
    if (hints.usageReportedBefore !== undefined)
      duties.usageLedger.closeBefore(hints.usageReportedBefore);
    duties.usageLedger.applyPeer(hints);
    this.applyGrants(hints, nowMs);
    rollouts.applyPeer(hints.lifetime, hints.rollouts);
    if (hints.quarantine !== undefined) quarantine.applyPeer(hints.quarantine);
    endpointLimits.applyPeer(hints.endpointLimits ?? []);
    brittleEndpoints.applyPeer(hints.brittleEndpoints ?? []);
    leavingEndpoints.applyPeer(hints.leavingEndpoints ?? []);
    this.deps.coldStarts.applyPeer(hints.coldEndpoints ?? []);
    if (hints.loadReports !== undefined)
      this.deps.loadReports?.applyPeer(hints.loadReports);
    pool.applyPeerLoad(hintBoard.work(nowMs));
  }

  private applyGrants(hints: DaemonHints, nowMs: number): void {
    const { tokenBuckets } = this.deps;
    const { ageMs, grantedTokens: granted, lifetime } = hints;
    tokenBuckets.applyPeerGrants({ lifetime, ageMs, granted }, nowMs);
    for (const grants of hints.passedOnGrants ?? [])
      if (grants.lifetime !== this.lifetime)
        tokenBuckets.applyPassedOnGrants(grants, nowMs);
    tokenBuckets.forgetSilentPeers(nowMs);
  }

  /** Records whether this daemon holds the lease for the duties, or no longer holds the one that it had. */
  private recordOwnLease(nowMs: number): void {
    const { cluster, duties } = this.deps;
    const token = duties.dutyHolder.currentToken();
    this.heldLease = token ?? this.heldLease;
    if (this.heldLease === undefined) return;
    const { fencingNumber, holder: holderId } = this.heldLease;
    const isHeld = token !== undefined;
    const takesCollectedUsage = this.isUsageCollected();
    const news = {
      ...{ fencingNumber, holderId, isHeld, ageMs: 0 },
      holderPeerAddress: cluster().identity.peerAddress,
      takesCollectedUsage,
    };
    cluster().hintBoard.dutyLease.record(news, nowMs);
    if (!isHeld) this.heldLease = undefined;
  }

  private isUsageCollected(): boolean {
    return this.context.settings.bounds.usageCheckpointSeconds > 0;
  }
}

function reachabilityHints(
  reachability: EndpointReachability,
  nowMs: number,
): Readonly<Record<string, ReachabilityHint>> {
  const hints: Record<string, ReachabilityHint> = {};
  for (const [group, state] of reachability.groups()) {
    const heardAgeMs = ageMs(nowMs, state.heardAtMs);
    const isUnreachable = state.unreachableSinceMs !== undefined;
    hints[group] = Number.isFinite(heardAgeMs)
      ? { isUnreachable, heardAgeMs }
      : { isUnreachable };
  }
  return hints;
}

/** Returns the age of something that may have happened since `nowMs` was read. */
function ageMs(nowMs: number, atMs: number): number {
  return Math.max(0, nowMs - atMs);
}
