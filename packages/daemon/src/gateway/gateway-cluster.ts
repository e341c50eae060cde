import type { RequestListener } from 'node:http';

import type { UsageHolder } from '@skylarkreach/core/duties';
import type { DaemonHints } from '@skylarkreach/core/hints';
import { HintStore } from '@skylarkreach/core/hints';
import { rankDaemons, ReaderRole } from '@skylarkreach/core/membership';
import type { DaemonIdentity } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import { HttpListener } from '../http/index.js';
import type { Loop } from '../loops/index.js';
import { createIntervalLoop } from '../loops/index.js';
import { MembershipService } from '../membership/index.js';
import { HttpPeer, PeerServer } from '../peers/index.js';
import { DaemonRegistry } from './daemon-registry.js';
import type { GatewayContext } from './gateway-context.js';
import { GOSSIP_KEYS_OF_EVERY_DIGEST } from './gossip-key.js';
import { HINT_INTERVAL_MS, HintExchange } from './hint-exchange.js';
import { RELAY_PATH } from './relay-message.js';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 2_000;
/** Time for which peers keep an idle connection: most meet again within it among 64 daemons, and it bounds the connections among thousands. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const SEED_INTERVAL_MS = 1_000;

/** Hooks through which a cluster obtains this daemon's hints and delivers those of peers. */
export interface ClusterHooks {
  ownHints(): DaemonHints;
  hintsForDutyHolder(): Partial<DaemonHints>;
  applyHints(hints: DaemonHints): void;
}

/** Membership and hint exchange with the other daemons, and the server for their calls. */
export class GatewayCluster {
  /** Identity of this daemon as announced to peers; `peerAddress` gets its port once the server is bound. */
  readonly identity: { -readonly [Name in keyof DaemonIdentity]: string };
  readonly membership: MembershipService;
  readonly hintBoard = new HintStore();
  readonly readerRole: ReaderRole;
  private readonly listener: HttpListener;
  readonly peerServer: PeerServer;
  readonly peer: HttpPeer;
  private serveRelay: RequestListener | undefined;
  readonly loops: readonly Loop[];

  constructor(
    private readonly context: GatewayContext,
    hooks: ClusterHooks,
    onDaemonsListed: (ids: readonly string[]) => void,
  ) {
    const { clock, http, log, machine, metrics, platform, settings } = context;
    const { identity, listen, peerSecret } = settings;
    this.identity = {
      id: identity.daemonId,
      dataCentre: identity.dataCentre,
      peerAddress: listen.peers,
      callerUrl: `http://${listen.callers}`,
    };
    const httpPeer = new HttpPeer(http, peerSecret, clock, metrics);
    const peerServer = new PeerServer(
      peerSecret,
      metrics,
      clock,
      context.peerMemory,
    );
    this.peerServer = peerServer;
    this.peer = httpPeer;
    this.listener = new HttpListener(
      {
        address: listen.peers,
        maxHeaderBytes: MAX_HEADER_BYTES,
        headersTimeoutMs: HEADERS_TIMEOUT_MS,
        clock,
        keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS,
        limit: {
          listener: 'peers',
          maxConnections: machine.peerConnections,
          maxPartialHeadBytes: machine.partialHeadBytes,
          log,
          metrics,
        },
      },
      (request, response) => {
        if (request.url === RELAY_PATH && this.serveRelay !== undefined) {
          this.serveRelay(request, response);
        } else {
          void peerServer.serve(request, response);
        }
      },
    );
    this.membership = new MembershipService(this.identity, {
      ...context,
      peer: httpPeer,
      registry: peerServer,
      keysOfEveryDigest: GOSSIP_KEYS_OF_EVERY_DIGEST,
      seeds: new DaemonRegistry(
        platform.keyValue,
        this.identity,
        log,
        onDaemonsListed,
      ),
    });
    this.readerRole = new ReaderRole({
      self: this.identity,
      nowMs: () => clock.nowMs(),
      livePeers: () => this.membership.live(),
    });
    const hintExchange = new HintExchange({
      ...context,
      peer: httpPeer,
      registry: peerServer,
      hintBoard: this.hintBoard,
      livePeers: () => this.membership.live(),
      dutyHolderId: () => this.hintBoard.dutyLease.holderId(clock.nowMs()),
      ownHints: () => hooks.ownHints(),
      hintsForDutyHolder: () => hooks.hintsForDutyHolder(),
      onHints: hints => {
        hooks.applyHints(hints);
      },
    });
    const createLoop = (
      name: string,
      intervalMs: number,
      step: () => Promise<void>,
    ) =>
      createIntervalLoop(
        context,
        LogComponent.Membership,
        name,
        intervalMs,
        step,
      );
    this.loops = [
      ...this.membership.loops,
      createLoop('hints', HINT_INTERVAL_MS, () => hintExchange.step()),
      createLoop('seeds', SEED_INTERVAL_MS, () => this.joinSeeds()),
    ];
  }

  /** Binds the server for peer calls and announces its address. */
  async listen(): Promise<void> {
    const address = await this.listener.listen();
    this.identity.peerAddress = address;
    this.peerServer.setOwnAddress(address);
  }

  /** Sets the listener for requests that peers pass on. */
  onRelay(listener: RequestListener): void {
    this.serveRelay = listener;
  }

  /** Answers the calls of peers that have arrived, then stops listening and closes their connections. */
  close(): Promise<void> {
    return this.listener.close();
  }

  destroy(): void {
    this.listener.destroy();
  }

  /** Number of live daemons, this one included. */
  get size(): number {
    return this.membership.live().length + 1;
  }

  /** Returns the rank of this daemon among the live ones for a purpose; 0 is the first. */
  rankFor(purpose: string): number {
    const { identity, membership } = this;
    const ranked = rankDaemons(purpose, [identity, ...membership.live()]);
    return ranked.findIndex(daemon => daemon.id === identity.id);
  }

  /** Returns the peer that holds the duties, as a receiver of usage counts; undefined if none is known. */
  usageHolder(): UsageHolder | undefined {
    const { hintBoard, identity, membership } = this;
    const { dutyLease } = hintBoard;
    const nowMs = this.context.clock.nowMs();
    const lease = dutyLease.heldLease(nowMs);
    const daemon = dutyLease.holderPeer(identity.id, membership.live(), nowMs);
    return (
      lease &&
      daemon && {
        daemon,
        fencingNumber: lease.fencingNumber,
        // A daemon of an earlier build does not know the methods.
        takesCounts: hintBoard.takesUsageCounts(daemon.id),
        takesCollected: lease.takesCollectedUsage === true,
      }
    );
  }

  /** Whether hints from every live daemon arrived within the last `limitMs`. */
  hasAllHintsWithin(limitMs: number): boolean {
    const nowMs = this.context.clock.nowMs();
    return this.membership.live().every(daemon => {
      const silentMs = this.hintBoard.silentForMs(daemon.id, nowMs);
      return silentMs !== undefined && silentMs <= limitMs;
    });
  }

  /** Joins through the seeds while no other daemon is known. */
  private async joinSeeds(): Promise<void> {
    if (this.membership.live().length > 0) return;
    const { platform } = this.context.settings;
    const [ownIp, peerPort] = this.identity.peerAddress.split(':');
    const addresses = platform.seeds
      .map(seed => seed.split(':')[0])
      .filter(ip => ip !== ownIp)
      // All daemons use the same peer port.
      .map(ip => `${ip ?? ''}:${peerPort ?? ''}`);
    await Promise.all(
      addresses.map(address => this.membership.joinThrough(address)),
    );
  }
}
