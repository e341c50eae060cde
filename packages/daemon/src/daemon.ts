import type { Address, Clock } from '@skylarkreach/core/ports';
import { LogPart } from '@skylarkreach/core/ports';

import { SystemClock } from './adapters/index.js';
import { HttpListener } from './http/index.js';
import type { Settings } from './settings/index.js';
import type { Wiring } from './wiring.js';
import { wire } from './wiring.js';

/** Addresses that a running daemon is bound to. */
export interface BoundAddresses {
  readonly callers: Address;
  readonly operators: Address;
  readonly peers: Address;
}

export interface DaemonOptions {
  readonly clock?: Clock;
  readonly seed?: number;
}

/** One daemon: its servers and its background loops. */
export class Daemon {
  readonly wiring: Wiring;
  private readonly listeners: readonly [
    HttpListener,
    HttpListener,
    HttpListener,
  ];
  private ready = false;

  constructor(settings: Settings, options: DaemonOptions = {}) {
    const clock = options.clock ?? new SystemClock();
    this.wiring = wire(settings, clock, options.seed ?? clock.nowMs(), {
      isReady: () => this.ready && !this.isLeaving(),
    });
    const { callers, operators, peerServer } = this.wiring;
    const common = {
      maxHeaderBytes: settings.limits.maxHeaderBytes,
      headersTimeoutMs: settings.limits.bodyTimeoutMs,
    };
    this.listeners = [
      new HttpListener(
        { ...common, address: settings.listen.callers },
        (request, response) => void callers.handle(request, response),
      ),
      new HttpListener(
        { ...common, address: settings.listen.operators },
        (request, response) => void operators.handle(request, response),
      ),
      new HttpListener(
        { ...common, address: settings.listen.peers },
        (request, response) => void peerServer.serve(request, response),
      ),
    ];
  }

  /** Binds the servers and starts the loops. */
  async start(): Promise<BoundAddresses> {
    const [callers, operators, peers] = await Promise.all([
      this.listeners[0].listen(),
      this.listeners[1].listen(),
      this.listeners[2].listen(),
    ]);
    this.wiring.identity.bind(callers, peers);
    this.wiring.peerServer.acceptCallsTo(peers);
    await this.wiring.prime();
    for (const loop of this.wiring.loops) loop.start();
    this.ready = true;
    this.wiring.parts.log.info(LogPart.Daemon, 'The daemon is ready.', {
      callers,
    });
    return { callers, operators, peers };
  }

  /** Stops gracefully: takes no new work and ends once the work in flight has ended. */
  async stop(): Promise<void> {
    this.ready = false;
    const { handOff, responses } = this.wiring.survival;
    await responses.idle();
    handOff.stop();
    await handOff.ended();
    await this.wiring.membership.leave();
    await this.listeners[0].close();
    await this.wiring.claims.drain();
    await Promise.all(this.listeners.slice(1).map(each => each.close()));
    await this.stopLoops();
    this.wiring.parts.log.info(LogPart.Daemon, 'The daemon has stopped.');
  }

  /** Ends at once, as a killed process does. */
  async kill(): Promise<void> {
    this.ready = false;
    this.wiring.survival.handOff.stop();
    for (const listener of this.listeners) listener.destroy();
    await this.stopLoops();
  }

  private isLeaving(): boolean {
    return this.wiring.survival.handOff.hasBegun;
  }

  /** Stops the loops; closing the connections ends the watch that one may wait on. */
  private async stopLoops(): Promise<void> {
    const stopped = this.wiring.loops.map(loop => loop.stop());
    await this.wiring.http.close();
    await Promise.all(stopped);
  }
}
