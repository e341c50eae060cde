import type {
  Address,
  Clock,
  Peer,
  PeerHandler,
  PeerMethod,
  PeerRegistry,
} from '../ports/index.js';
import { AnswerLostError, NotSentError } from '../ports/index.js';
import { Fault } from './faulty-key-value.js';

type AnyHandler = (params: unknown) => Promise<unknown>;

/** Chooses the fault of a message between two daemons. */
export type LinkFaultPlan = (from: Address, to: Address) => Fault;

/** In-process network of daemons, with faults on its links. */
export class MemoryPeers {
  readonly handlers = new Map<Address, Map<string, AnyHandler>>();
  /** Serialised bytes that each daemon has sent, both ways of its calls. */
  readonly sentBytes = new Map<Address, number>();

  constructor(
    readonly clock: Clock,
    readonly plan: LinkFaultPlan = () => Fault.None,
    readonly delayMs = 1,
  ) {}

  /** The calling side of the daemon at `address`. */
  peer(address: Address): Peer {
    return new MemoryPeer(this, address);
  }

  /** The answering side of the daemon at `address`. */
  registry(address: Address): PeerRegistry {
    const handlers = new Map<string, AnyHandler>();
    this.handlers.set(address, handlers);
    return {
      handle: <Params, Result>(
        method: PeerMethod<Params, Result>,
        handler: PeerHandler<Params, Result>,
      ) => {
        handlers.set(method.name, params =>
          handler(method.params.parse(params)),
        );
      },
    };
  }

  /** Ends the daemon at `address`: calls to it fail from now on. */
  remove(address: Address): void {
    this.handlers.delete(address);
  }

  countBytes(address: Address, message: string): void {
    const bytes = this.sentBytes.get(address) ?? 0;
    this.sentBytes.set(address, bytes + Buffer.byteLength(message));
  }
}

class MemoryPeer implements Peer {
  constructor(
    private readonly network: MemoryPeers,
    private readonly from: Address,
  ) {}

  async call<Params, Result>(
    address: Address,
    method: PeerMethod<Params, Result>,
    params: Params,
    deadlineAtMs: number,
  ): Promise<Result> {
    const fault = this.network.plan(this.from, address);
    const message = JSON.stringify({ method: method.name, params });
    this.network.countBytes(this.from, message);
    if (fault === Fault.Silent || fault === Fault.CallLost) {
      await this.network.clock.waitUntil(deadlineAtMs);
      throw new AnswerLostError(`No answer from ${address}; dial it again.`);
    }
    const handler = this.network.handlers.get(address)?.get(method.name);
    if (handler === undefined || fault === Fault.Down) {
      throw new NotSentError(`Daemon ${address} cannot be reached.`);
    }
    const handled = handler(JSON.parse(JSON.stringify(params)));
    const answer = await this.withinDeadline(address, handled, deadlineAtMs);
    this.network.countBytes(address, JSON.stringify(answer ?? null));
    if (fault === Fault.Slow) {
      await this.network.clock.waitUntil(
        this.network.clock.nowMs() + this.network.delayMs,
      );
    }
    if (fault === Fault.AnswerLost) {
      throw new AnswerLostError(`The answer of ${address} was lost.`);
    }
    return method.result.parse(answer);
  }

  /** Gives the call up at its deadline where the other daemon does not answer. */
  private async withinDeadline(
    address: Address,
    handled: Promise<unknown>,
    deadlineAtMs: number,
  ): Promise<unknown> {
    const answered = new AbortController();
    const timeout = this.network.clock
      .waitUntil(deadlineAtMs, answered.signal)
      .then(() =>
        Promise.reject(
          new AnswerLostError(`No answer from ${address}; dial it again.`),
        ),
      );
    try {
      return await Promise.race([handled, timeout]);
    } finally {
      timeout.catch(() => undefined);
      answered.abort();
    }
  }
}
