import type { Address, Clock } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import { SystemClock } from './adapters/index.js';
import { HttpListener } from './http/index.js';
import type { Settings } from './settings/index.js';
import { shareMachine } from './settings/index.js';
import type { DaemonWiring } from './wiring.js';
import { wireDaemon } from './wiring.js';

/** Addresses that the servers of a running daemon are bound to. */
export interface BoundAddresses {
  readonly callers: Address;
  readonly operators: Address;
  readonly peers: Address;
}

export interface DaemonOptions {
  /** Defaults to the system clock. */
  readonly clock?: Clock;
  /** Seed of the random number generator; defaults to the current time. */
  readonly seed?: number;
}

/** Daemon process: its HTTP servers for callers, operators and peers, and its background loops. */
export class Daemon {
  readonly wiring: DaemonWiring;
  private readonly listeners: readonly [
    HttpListener,
    HttpListener,
    HttpListener,
  ];
  private isServing = false;

  constructor(settings: Settings, options: DaemonOptions = {}) {
    const clock = options.clock ?? new SystemClock();
    this.wiring = wireDaemon(settings, clock, options.seed ?? clock.nowMs(), {
      isReady: () => this.isServing && !this.isLeaving(),
    });
    const { callers, operators, peerServer } = this.wiring;
    const listenerOptions = {
      clock,
      maxHeaderBytes: settings.limits.maxHeaderBytes,
      headersTimeoutMs: settings.limits.bodyTimeoutMs,
    };
    const { log, metrics } = this.wiring.pipelineDeps;
    const machine = shareMachine(settings.callers);
    const limitOf = (listener: string, maxConnections: number) => ({
      listener,
      maxConnections,
      maxPartialHeadBytes: machine.partialHeadBytes,
      log,
      metrics,
    });
    const { callerConnections, operatorConnections, peerConnections } = machine;
    this.listeners = [
      new HttpListener(
        {
          ...listenerOptions,
          address: settings.listen.callers,
          limit: limitOf('callers', callerConnections),
        },
        (request, response) => void callers.handle(request, response),
      ),
      new HttpListener(
        {
          ...listenerOptions,
          address: settings.listen.operators,
          limit: limitOf('operators', operatorConnections),
        },
        (request, response) => void operators.handle(request, response),
      ),
      new HttpListener(
        {
          ...listenerOptions,
          address: settings.listen.peers,
          limit: limitOf('peers', peerConnections),
        },
        (request, response) => void peerServer.serve(request, response),
      ),
    ];
  }

  /** Binds the servers, loads the initial state and starts the loops. */
  async start(): Promise<BoundAddresses> {
    const [callers, operators, peers] = await Promise.all([
      this.listeners[0].listen(),
      this.listeners[1].listen(),
      this.listeners[2].listen(),
    ]);
    this.wiring.identity.bind(callers, peers);
    this.wiring.peerServer.setOwnAddress(peers);
    await this.wiring.loadInitialState();
    for (const loop of this.wiring.loops) loop.start();
    this.isServing = true;
    this.wiring.pipelineDeps.log.info(
      LogComponent.Daemon,
      'The daemon is ready.',
      {
        callers,
      },
    );
    return { callers, operators, peers };
  }

  /** Stops gracefully: accepts no new work and resolves once the work in flight has ended. */
  async stop(): Promise<void> {
    this.isServing = false;
    const { handOff, responses } = this.wiring.survival;
    await responses.whenIdle();
    handOff.stopWaiting();
    await handOff.whenEnded();
    await this.wiring.membership.leave();
    await this.listeners[0].close();
    await this.wiring.claims.drain();
    await Promise.all(
      this.listeners.slice(1).map(listener => listener.close()),
    );
    await this.stopLoops();
    this.wiring.pipelineDeps.log.info(
      LogComponent.Daemon,
      'The daemon has stopped.',
    );
  }

  /** Stops at once without draining, as a killed process does. */
  async kill(): Promise<void> {
    this.isServing = false;
    this.wiring.survival.handOff.stopWaiting();
    for (const listener of this.listeners) listener.destroy();
    await this.stopLoops();
  }

  private isLeaving(): boolean {
    return this.wiring.survival.handOff.hasStarted;
  }

  /** Stops the loops. Closing the client connections aborts a pending watch of the key-value service, which a loop may be waiting for. */
  private async stopLoops(): Promise<void> {
    const stopped = this.wiring.loops.map(loop => loop.stop());
    await this.wiring.http.close();
    await Promise.all(stopped);
  }
}
