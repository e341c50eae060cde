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
const CALL_TIMEOUT_MS = 400;

export interface HintExchangeDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly peer: PeerClient;
  readonly registry: PeerRegistry;
  readonly hintBoard: HintStore;
  readonly livePeers: () => readonly DaemonIdentity[];
  /** Builds this daemon's current hints. */
  readonly ownHints: () => DaemonHints;
  /** Called with hints newer than those known from the same lifetime of a daemon. */
  readonly onHints: (hints: DaemonHints) => void;
}

/** Gossips hints: each call to a peer sends this daemon's hints and returns the peer's. */
export class HintExchange {
  constructor(private readonly deps: HintExchangeDependencies) {
    deps.registry.handle(exchangeHintsMethod, hints => {
      this.receive(hints);
      return Promise.resolve(deps.ownHints());
    });
  }

  /** Starts exchanges with up to `FAN_OUT` random peers and doesn't wait for their responses. */
  step(): Promise<void> {
    const { livePeers, ownHints, random } = this.deps;
    const peers = [...livePeers()];
    const count = Math.min(FAN_OUT, peers.length);
    const hints = count === 0 ? undefined : ownHints();
    for (let sent = 0; sent < count && hints !== undefined; sent += 1) {
      const index = random.nextInteger(peers.length);
      const [target] = peers.splice(index, 1);
      if (target !== undefined) void this.exchangeWith(target, hints);
    }
    return Promise.resolve();
  }

  private async exchangeWith(
    target: DaemonIdentity,
    hints: DaemonHints,
  ): Promise<void> {
    const { clock, peer } = this.deps;
    const sentAtMs = clock.nowMs();
    try {
      const peerHints = await peer.call(
        target.peerAddress,
        exchangeHintsMethod,
        hints,
        sentAtMs + CALL_TIMEOUT_MS,
      );
      this.receive(peerHints, sentAtMs);
    } catch (error) {
      // The membership protocol detects whether the daemon has failed.
      if (!(error instanceof PlatformError)) throw error;
    }
  }

  private receive(hints: DaemonHints, builtAfterMs?: number): void {
    const { hintBoard, clock, onHints } = this.deps;
    if (hintBoard.add(hints, clock.nowMs(), builtAfterMs)) onHints(hints);
  }
}
