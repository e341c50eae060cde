import type { DaemonHints } from '@skylarkreach/core/hints';
import { HintBoard } from '@skylarkreach/core/hints';
import { rankDaemons } from '@skylarkreach/core/membership';
import type { DaemonIdentity } from '@skylarkreach/core/ports';
import { LogPart } from '@skylarkreach/core/ports';

import { HttpListener } from '../http/index.js';
import type { Loop } from '../loops/index.js';
import { everyInterval } from '../loops/index.js';
import { MembershipService } from '../membership/index.js';
import { HttpPeer, PeerServer } from '../peers/index.js';
import { DaemonRegistry } from './daemon-registry.js';
import type { GatewayBase } from './gateway-base.js';
import { HINT_INTERVAL_MS, HintExchange } from './hint-exchange.js';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 2_000;
const SEED_INTERVAL_MS = 1_000;

export interface ClusterHooks {
  ownHints(): DaemonHints;
  takeHints(hints: DaemonHints): void;
}

/** The other daemons, as this one knows them. */
export class GatewayCluster {
  /** This daemon as others know it; its port is filled in once the server is bound. */
  readonly identity: { -readonly [Name in keyof DaemonIdentity]: string };
  readonly membership: MembershipService;
  readonly board = new HintBoard();
  private readonly listener: HttpListener;
  private readonly registry: PeerServer;
  readonly loops: readonly Loop[];

  constructor(
    private readonly base: GatewayBase,
    hooks: ClusterHooks,
  ) {
    const { clock, http, log, metrics, platform, settings } = base;
    const { identity, listen, peerSecret } = settings;
    this.identity = {
      id: identity.daemonId,
      dataCentre: identity.dataCentre,
      peerAddress: listen.peers,
      callerUrl: `http://${listen.callers}`,
    };
    const peer = new HttpPeer(http, peerSecret, clock);
    const registry = new PeerServer(peerSecret, metrics, clock);
    this.registry = registry;
    this.listener = new HttpListener(
      {
        address: listen.peers,
        maxHeaderBytes: MAX_HEADER_BYTES,
        headersTimeoutMs: HEADERS_TIMEOUT_MS,
      },
      (request, response) => void registry.serve(request, response),
    );
    this.membership = new MembershipService(this.identity, {
      ...base,
      peer,
      registry,
      seeds: new DaemonRegistry(platform.keyValue, this.identity, log),
    });
    const exchange = new HintExchange({
      ...base,
      peer,
      registry,
      board: this.board,
      live: () => this.membership.live(),
      ownHints: () => hooks.ownHints(),
      take: hints => {
        hooks.takeHints(hints);
      },
    });
    const every = (
      name: string,
      intervalMs: number,
      step: () => Promise<void>,
    ) => everyInterval(base, LogPart.Membership, name, intervalMs, step);
    this.loops = [
      ...this.membership.loops,
      every('hints', HINT_INTERVAL_MS, () => exchange.step()),
      every('seeds', SEED_INTERVAL_MS, () => this.joinSeeds()),
    ];
  }

  /** Binds the peers' server. */
  async listen(): Promise<void> {
    const address = await this.listener.listen();
    this.identity.peerAddress = address;
    this.registry.acceptCallsTo(address);
  }

  destroy(): void {
    this.listener.destroy();
  }

  /** Live daemons, this one included. */
  get size(): number {
    return this.membership.live().length + 1;
  }

  /** Place of this daemon among the live ones for a purpose, 0 first. */
  rankFor(purpose: string): number {
    const { identity, membership } = this;
    const ranked = rankDaemons(purpose, [identity, ...membership.live()]);
    return ranked.findIndex(each => each.id === identity.id);
  }

  /** Whether every live daemon was heard of within `limitMs`. */
  isHeardWithin(limitMs: number): boolean {
    const nowMs = this.base.clock.nowMs();
    return this.membership.live().every(each => {
      const silentMs = this.board.silentForMs(each.id, nowMs);
      return silentMs !== undefined && silentMs <= limitMs;
    });
  }

  /** Asks the seeds for members while no other daemon is known. */
  private async joinSeeds(): Promise<void> {
    if (this.membership.live().length > 0) return;
    const { platform } = this.base.settings;
    const [ownIp, peerPort] = this.identity.peerAddress.split(':');
    const addresses = platform.seeds
      .map(seed => seed.split(':')[0])
      .filter(ip => ip !== ownIp)
      // Peers listen on the same port everywhere.
      .map(ip => `${ip ?? ''}:${peerPort ?? ''}`);
    await Promise.all(addresses.map(each => this.membership.joinAt(each)));
  }
}
