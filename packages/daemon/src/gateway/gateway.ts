import type { Address, Clock } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import { SteadyClock } from '../adapters/index.js';
import { nextPoll } from '../http/index.js';
import type { GatewaySettings } from '../settings/index.js';
import { applyChangedSettings } from './apply-settings.js';
import type { EndpointConnector } from './endpoint-client.js';
import type { GatewayWiring } from './gateway-wiring.js';
import { wireGateway } from './gateway-wiring.js';
import type { TextResponse } from './text-server.js';
import { TextServer } from './text-server.js';

/** Time in which the last answers are sent, and requests that have arrived are refused, after the cutoff. */
const FLUSH_MS = 500; // a part of CUTOFF_MARGIN_MS of stop-schedule.ts
const MS_PER_SECOND = 1_000;
const METRICS_PATH = '/metrics';
const ENDPOINTS_PATH = '/dump/endpoints';
const QUEUES_PATH = '/dump/queues';

export interface GatewayOptions {
  readonly clock?: Clock;
  readonly seed?: number;
  readonly connectEndpoint?: EndpointConnector;
}

/** Addresses that a running gateway is bound to. */
export interface GatewayAddresses {
  readonly callers: Address;
  readonly readiness: Address;
  readonly metrics: Address;
}

/** Gateway daemon between callers and the endpoints of a platform: its servers and background loops. */
export class Gateway {
  readonly wiring: GatewayWiring;
  private readonly readinessServer: TextServer;
  private readonly metricsServer: TextServer;
  private isStopping = false;

  constructor(settings: GatewaySettings, options: GatewayOptions = {}) {
    const clock = options.clock ?? new SteadyClock();
    const seed = options.seed ?? Math.floor(clock.nowMs()) ^ process.pid;
    this.wiring = wireGateway(settings, clock, seed, options.connectEndpoint);
    this.readinessServer = new TextServer({
      [settings.listen.readinessPath]: () => this.readinessResponse(),
    });
    this.metricsServer = new TextServer({
      [METRICS_PATH]: async () => ({
        status: 200,
        text: await this.wiring.metrics.text(),
      }),
      [ENDPOINTS_PATH]: () => ({ status: 200, text: this.dumpEndpoints() }),
      [QUEUES_PATH]: () => ({ status: 200, text: this.dumpQueues() }),
    });
  }

  /** True once a configuration and the endpoint list are known, until the daemon stops. */
  get isReady(): boolean {
    const { configuration, pool } = this.wiring;
    return !this.isStopping && configuration.version > 0 && pool.revision > 0;
  }

  /** Binds all servers, then starts the background loops. */
  async start(): Promise<GatewayAddresses> {
    const { cluster, ingress, log, loops, settings } = this.wiring;
    const { listen } = settings;
    const [callers, readiness, metrics] = await Promise.all([
      ingress.listen(listen.callers),
      this.readinessServer.listen(listen.readiness),
      this.metricsServer.listen(listen.metrics),
      cluster.listen(),
    ]);
    for (const loop of loops) loop.start();
    log.info(LogComponent.Daemon, 'The daemon has started.', {
      callers,
      startedInMs: Math.round(performance.now()),
    });
    return { callers, readiness, metrics };
  }

  /** Applies changed settings at once, and logs those that need a restart. */
  applySettings(next: GatewaySettings): void {
    const { log, settings } = this.wiring;
    const needsRestart = applyChangedSettings(settings, next);
    log.info(LogComponent.Daemon, 'The settings have changed.', {
      needsRestart: needsRestart.join(','),
    });
  }

  /** Counts and logs a settings file that cannot be used; the last valid settings stay in force. */
  reportSettingsError(message: string): void {
    const { log, metrics } = this.wiring;
    metrics.increment('settings.faults');
    log.warn(LogComponent.Daemon, 'Changed settings cannot be used.', {
      message,
    });
  }

  /**
   * Stops gracefully: reports not ready at once and keeps serving requests until
   * the load balancer has stopped routing to this daemon and all responses have
   * ended, or until the grace period is nearly over. Requests that may last beyond
   * that are rejected; those that do get an error. Callers may connect and send
   * until the end, when their requests are refused.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const { clock, ingress, log, settings, stopSchedule } = this.wiring;
    const { gracePeriodSeconds } = settings.bounds;
    stopSchedule.start(gracePeriodSeconds * MS_PER_SECOND);
    log.info(LogComponent.Daemon, 'The daemon is leaving.', {
      answersInProgress: ingress.answersInProgress,
    });
    ingress.startDraining();
    this.wiring.queue.gate?.startStopping();
    const { cluster, duties, relayServer } = this.wiring;
    void duties.release();
    void cluster.membership.leave();
    await clock.waitUntil(stopSchedule.routedUntilMs);
    ingress.refuseNewConnections();
    const { cutoffAtMs } = stopSchedule;
    // Answers that arrived while the process was held up are read first.
    const cutoff = clock.waitUntil(cutoffAtMs).then(nextPoll);
    await Promise.race([this.whenIdle(), cutoff]);
    const { answersInProgress } = ingress;
    ingress.endResponses();
    relayServer.refuseRequests();
    // Side by side: callers find no listener from the end of the first until the process is started again.
    const closed = Promise.all([ingress.close(), cluster.close()]);
    const flushUntilMs = Math.max(clock.nowMs(), cutoffAtMs) + FLUSH_MS;
    await Promise.race([closed, clock.waitUntil(flushUntilMs)]);
    await this.terminate();
    log.info(LogComponent.Daemon, 'The daemon has stopped.', {
      answersInProgress,
    });
  }

  /** Stops at once and closes all connections, as a killed process does. */
  async terminate(): Promise<void> {
    this.isStopping = true;
    const { cluster, endpointClient, ingress, http, loops, peerConnections } =
      this.wiring;
    ingress.destroy();
    cluster.destroy();
    this.readinessServer.destroy();
    this.metricsServer.destroy();
    const stopped = loops.map(loop => loop.stop());
    await Promise.all([
      endpointClient.close(),
      peerConnections.close(),
      http.close(),
    ]);
    await Promise.all(stopped);
  }

  /** Resolves once no response to a caller or a peer is in progress, nor is begun by a further poll. */
  private async whenIdle(): Promise<void> {
    const { ingress, relayServer } = this.wiring;
    do {
      await Promise.all([ingress.whenIdle(), relayServer.whenIdle()]);
      await nextPoll();
    } while (ingress.answersInProgress + relayServer.answersInProgress > 0);
  }

  /** Returns the endpoints with what this daemon knows of them, as JSON. */
  private dumpEndpoints(): string {
    const { clock, pool } = this.wiring;
    return JSON.stringify(pool.dumpState(clock.nowMs()));
  }

  /** Returns the state of the queues as JSON. */
  private dumpQueues(): string {
    const { clock, queue } = this.wiring;
    return JSON.stringify(queue.dumpState(clock.nowMs()));
  }

  private readinessResponse(): TextResponse {
    return this.isReady
      ? { status: 200, text: 'ready' }
      : { status: 503, text: 'not ready' };
  }
}
