import type { DaemonHints, HintStore } from '@skylarkreach/core/hints';
import { exchangeHintsMethod } from '@skylarkreach/core/hints';
import type {
  Clock,
  DaemonIdentity,
  PeerClient,
  PeerRegistry,
  Random,
} from '@skylarkreach/core/ports';
import { PlatformError } from '@skylarkreach/core/ports';

/** Time between two exchange rounds. */
export const HINT_INTERVAL_MS = 500; // with the fan-out, any two of 9 daemons exchange hints about twice a second
/** Number of peers contacted in each round. */
const FAN_OUT = 4; // bounds the load per daemon, whatever the number of daemons
/** Interval of exchanges with the holder of the duties, for each peer, so that its load does not grow with their number. */
const HOLDER_INTERVAL_PER_PEER_MS = 25;
const CALL_TIMEOUT_MS = 400;

export interface HintExchangeDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly peer: PeerClient;
  readonly registry: PeerRegistry;
  readonly hintBoard: HintStore;
  readonly livePeers: () => readonly DaemonIdentity[];
  /** Returns the id of the daemon that holds the duties, which needs the counts of all; undefined if it is not known. */
  readonly dutyHolderId: () => string | undefined;
  /** Builds this daemon's current hints. */
  readonly ownHints: () => DaemonHints;
  /** Builds the part of them that only the holder of the duties uses. */
  readonly hintsForDutyHolder: () => Partial<DaemonHints>;
  /** Called with hints newer than those known from the same lifetime of a daemon. */
  readonly onHints: (hints: DaemonHints) => void;
}

/** Gossips hints: each call to a peer sends this daemon's hints and returns the peer's. */
export class HintExchange {
  private nextHolderExchangeAtMs = 0;

  constructor(private readonly deps: HintExchangeDependencies) {
    deps.registry.handle(exchangeHintsMethod, hints => {
      this.receive(hints);
      const isHolder = hints.holdsDuties || this.mayHoldDuties(hints.daemonId);
      return Promise.resolve(this.hintsFor(isHolder, deps.ownHints()));
    });
  }

  /** Starts exchanges with up to `FAN_OUT` random peers, and with the holder of the duties if that is due. Doesn't wait for their responses. */
  step(): Promise<void> {
    const { livePeers, ownHints, random } = this.deps;
    const peers = [...livePeers()];
    if (peers.length === 0) return Promise.resolve();
    const hints = ownHints();
    const holder = this.dueHolder(peers);
    if (holder !== undefined) void this.exchangeWith(holder, hints);
    const count = Math.min(FAN_OUT, peers.length);
    for (let sent = 0; sent < count; sent += 1) {
      const index = random.nextInteger(peers.length);
      const [target] = peers.splice(index, 1);
      if (target !== undefined) void this.exchangeWith(target, hints);
    }
    return Promise.resolve();
  }

  /** Returns the holder of the duties if an exchange with it is due; among few daemons it is met often enough. */
  private dueHolder(
    peers: readonly DaemonIdentity[],
  ): DaemonIdentity | undefined {
    if (peers.length <= FAN_OUT * 2) return undefined;
    const nowMs = this.deps.clock.nowMs();
    if (nowMs < this.nextHolderExchangeAtMs) return undefined;
    const holderId = this.deps.dutyHolderId();
    const holder = peers.find(peer => peer.id === holderId);
    if (holder === undefined) return undefined;
    this.nextHolderExchangeAtMs =
      nowMs + peers.length * HOLDER_INTERVAL_PER_PEER_MS;
    return holder;
  }

  private async exchangeWith(
    target: DaemonIdentity,
    hints: DaemonHints,
  ): Promise<void> {
    const { clock, peer } = this.deps;
    const isHolder = this.mayHoldDuties(target.id);
    const sentAtMs = clock.nowMs();
    try {
      const peerHints = await peer.call(
        target.peerAddress,
        exchangeHintsMethod,
        this.hintsFor(isHolder, hints),
        sentAtMs + CALL_TIMEOUT_MS,
      );
      this.receive(peerHints, sentAtMs);
    } catch (error) {
      // The membership protocol detects whether the daemon has failed.
      if (!(error instanceof PlatformError)) throw error;
    }
  }

  /** Adds what only the holder of the duties uses; the messages to all others stay small. */
  private hintsFor(isHolder: boolean, hints: DaemonHints): DaemonHints {
    return isHolder ? { ...hints, ...this.deps.hintsForDutyHolder() } : hints;
  }

  /** Returns whether a peer is the holder of the duties, as far as that is known. */
  private mayHoldDuties(peerId: string): boolean {
    const holderId = this.deps.dutyHolderId();
    return holderId === undefined || holderId === peerId;
  }

  private receive(hints: DaemonHints, builtAfterMs?: number): void {
    const { hintBoard, clock, onHints } = this.deps;
    if (hintBoard.add(hints, clock.nowMs(), builtAfterMs)) onHints(hints);
  }
}
