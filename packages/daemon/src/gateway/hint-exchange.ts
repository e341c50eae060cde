import type { DaemonHints, HintBoard } from '@skylarkreach/core/hints';
import { exchangeHintsMethod } from '@skylarkreach/core/hints';
import type {
  Clock,
  DaemonIdentity,
  Peer,
  PeerRegistry,
  Random,
} from '@skylarkreach/core/ports';
import { PlatformError } from '@skylarkreach/core/ports';

/** Time between two rounds. */
export const HINT_INTERVAL_MS = 500; // with the fan-out, any two of 9 daemons meet about twice a second
/** Daemons that are told in each round. */
const FAN_OUT = 4; // bounds the cost of a daemon, however many there are
const CALL_TIMEOUT_MS = 400;

export interface HintExchangeParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly peer: Peer;
  readonly registry: PeerRegistry;
  readonly board: HintBoard;
  readonly live: () => readonly DaemonIdentity[];
  /** What this daemon tells of itself now. */
  readonly ownHints: () => DaemonHints;
  readonly take: (hints: DaemonHints) => void;
}

/** Exchanges hints with a few daemons at a time, both ways. */
export class HintExchange {
  constructor(private readonly parts: HintExchangeParts) {
    parts.registry.handle(exchangeHintsMethod, hints => {
      this.receive(hints);
      return Promise.resolve(parts.ownHints());
    });
  }

  /** Tells some daemons without waiting for their answers. */
  step(): Promise<void> {
    const { live, ownHints, random } = this.parts;
    const peers = [...live()];
    const count = Math.min(FAN_OUT, peers.length);
    const hints = count === 0 ? undefined : ownHints();
    for (let sent = 0; sent < count && hints !== undefined; sent += 1) {
      const index = random.nextInteger(peers.length);
      const [target] = peers.splice(index, 1);
      if (target !== undefined) void this.tell(target, hints);
    }
    return Promise.resolve();
  }

  private async tell(
    target: DaemonIdentity,
    hints: DaemonHints,
  ): Promise<void> {
    const { clock, peer } = this.parts;
    const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
    try {
      const answer = await peer.call(
        target.peerAddress,
        exchangeHintsMethod,
        hints,
        deadlineAtMs,
      );
      this.receive(answer);
    } catch (error) {
      // The membership finds out whether the daemon is gone.
      if (!(error instanceof PlatformError)) throw error;
    }
  }

  private receive(hints: DaemonHints): void {
    const { board, clock, take } = this.parts;
    if (board.take(hints, clock.nowMs())) take(hints);
  }
}
