import type {
  AllowanceLedger,
  EndpointPool,
} from '@skylarkreach/core/forwarding';
import type { DaemonHints } from '@skylarkreach/core/hints';
import type { RolloutBoard } from '@skylarkreach/core/rollouts';

import type { GatewayBase } from './gateway-base.js';
import type { ClusterHooks, GatewayCluster } from './gateway-cluster.js';
import type { GatewayDuties } from './gateway-duties.js';

export interface GatewayHintsSubject {
  readonly pool: EndpointPool;
  readonly allowances: AllowanceLedger;
  readonly rollouts: RolloutBoard;
  readonly duties: GatewayDuties;
  readonly cluster: () => GatewayCluster;
  /** Version of the list of endpoints in use. */
  readonly endpointsVersion: () => number;
  /** Time at which this daemon last began a read of them that succeeded; -Infinity before the first. */
  readonly endpointReadAtMs: () => number;
}

/** Gathers what this daemon tells others, and spreads what they tell to its parts. */
export class GatewayHints implements ClusterHooks {
  private readonly startedAtMs: number;
  private readonly lifetime: string;
  private sequence = 0;

  constructor(
    private readonly base: GatewayBase,
    private readonly subject: GatewayHintsSubject,
  ) {
    this.startedAtMs = base.clock.nowMs();
    const { daemonId } = base.settings.identity;
    this.lifetime = `${daemonId}/${Math.round(this.startedAtMs)}`;
  }

  ownHints(): DaemonHints {
    const { allowances, duties, pool, rollouts, ...reads } = this.subject;
    this.sequence += 1;
    const nowMs = this.base.clock.nowMs();
    const readAgeMs = nowMs - reads.endpointReadAtMs();
    return {
      daemonId: this.base.settings.identity.daemonId,
      lifetime: this.lifetime,
      sequence: this.sequence,
      ageMs: nowMs - this.startedAtMs,
      wallMs: Date.now(),
      work: Object.fromEntries(pool.ownWork()),
      grantedTokens: allowances.granted(),
      usage: duties.ledger.ownUsage(),
      endpointsVersion: reads.endpointsVersion(),
      ...(Number.isFinite(readAgeMs) ? { endpointReadAgeMs: readAgeMs } : {}),
      rollouts: rollouts.hints(),
      holdsDuties: duties.holder.current() !== undefined,
    };
  }

  takeHints(hints: DaemonHints): void {
    const { allowances, duties, pool, rollouts } = this.subject;
    const { board } = this.subject.cluster();
    const nowMs = this.base.clock.nowMs();
    duties.trueTime.observe(hints.daemonId, hints.wallMs);
    duties.ledger.applyPeer(hints);
    const isNew = hints.ageMs < nowMs - this.startedAtMs;
    allowances.applyPeer(hints.lifetime, hints.grantedTokens, isNew);
    allowances.keepPeers(board.lifetimes());
    rollouts.applyPeer(hints.lifetime, hints.rollouts);
    pool.applyPeerWork(board.work(nowMs));
  }
}
