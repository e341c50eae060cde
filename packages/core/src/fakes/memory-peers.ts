import type {
  Address,
  Clock,
  PeerClient,
  PeerHandler,
  PeerMethod,
  PeerRegistry,
} from '../ports/index.js';
import { AnswerLostError, NotSentError } from '../ports/index.js';
import { Fault } from './faulty-key-value.js';

type RegisteredHandler = (params: unknown) => Promise<unknown>;

/** Returns the fault of each call from one daemon to another. */
export type PeerFaultPlan = (from: Address, to: Address) => Fault;

/** In-process network between daemons, with fault injection for each link. */
export class MemoryPeers {
  readonly handlersByAddress = new Map<
    Address,
    Map<string, RegisteredHandler>
  >();
  /** Serialised bytes that each daemon has sent, as requests and as responses. */
  readonly sentBytes = new Map<Address, number>();

  constructor(
    readonly clock: Clock,
    readonly plan: PeerFaultPlan = () => Fault.None,
    readonly delayMs = 1,
  ) {}

  /** Returns the client with which the daemon at `address` calls others. */
  peer(address: Address): PeerClient {
    return new MemoryPeerClient(this, address);
  }

  /** Returns the registry of the methods that the daemon at `address` serves. */
  registry(address: Address): PeerRegistry {
    const handlers = new Map<string, RegisteredHandler>();
    this.handlersByAddress.set(address, handlers);
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

  /** Removes the daemon at `address`; later calls to it fail. */
  remove(address: Address): void {
    this.handlersByAddress.delete(address);
  }

  recordSentBytes(address: Address, message: string): void {
    const bytes = this.sentBytes.get(address) ?? 0;
    this.sentBytes.set(address, bytes + Buffer.byteLength(message));
  }
}

class MemoryPeerClient implements PeerClient {
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
    this.network.recordSentBytes(this.from, message);
    if (fault === Fault.Silent || fault === Fault.CallLost) {
      await this.network.clock.waitUntil(deadlineAtMs);
      throw new AnswerLostError(`No response from ${address}; retry the call.`);
    }
    const handler = this.network.handlersByAddress
      .get(address)
      ?.get(method.name);
    if (handler === undefined || fault === Fault.Down) {
      throw new NotSentError(`Daemon ${address} cannot be reached.`);
    }
    const handlerResult = handler(JSON.parse(JSON.stringify(params)));
    const result = await this.enforceDeadline(
      address,
      handlerResult,
      deadlineAtMs,
    );
    this.network.recordSentBytes(address, JSON.stringify(result ?? null));
    if (fault === Fault.Slow) {
      await this.network.clock.waitUntil(
        this.network.clock.nowMs() + this.network.delayMs,
      );
    }
    if (fault === Fault.AnswerLost) {
      throw new AnswerLostError(`The response of ${address} was lost.`);
    }
    return method.result.parse(result);
  }

  /** Rejects at the deadline where the other daemon has not responded. */
  private async enforceDeadline(
    address: Address,
    handlerResult: Promise<unknown>,
    deadlineAtMs: number,
  ): Promise<unknown> {
    const settled = new AbortController();
    const timeout = this.network.clock
      .waitUntil(deadlineAtMs, settled.signal)
      .then(() =>
        Promise.reject(
          new AnswerLostError(`No response from ${address}; retry the call.`),
        ),
      );
    try {
      return await Promise.race([handlerResult, timeout]);
    } finally {
      timeout.catch(() => undefined);
      settled.abort();
    }
  }
}
