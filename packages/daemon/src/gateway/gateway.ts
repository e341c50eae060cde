import type { Address, Clock } from '@skylarkreach/core/ports';
import { LogPart } from '@skylarkreach/core/ports';

import { SteadyClock } from '../adapters/index.js';
import type { GatewaySettings } from '../settings/index.js';
import type { GatewayWiring } from './gateway-wiring.js';
import { wireGateway } from './gateway-wiring.js';
import type { TextAnswer } from './text-server.js';
import { TextServer } from './text-server.js';

/** Time in which the balancer sees that this daemon is not ready any more: two probes a second apart, and the last one's answer. */
const BALANCER_LAG_MS = 2_500;
/** Time before the end of the grace period at which answers still in progress are cut off. */
const LAST_CALL_MS = 1_000; // some timers' lateness on a busy instance, and the end of the loops
/** Least time for which a request is worth taking before the process ends. */
const MIN_SERVE_MS = 2_500; // most requests take less
const MS_PER_SECOND = 1_000;
/** Sections that are read once, at the start. */
const RESTART_SECTIONS = ['identity', 'listen', 'peerSecret'] as const;
const METRICS_PATH = '/metrics';

export interface GatewayOptions {
  readonly clock?: Clock;
  readonly seed?: number;
}

/** Addresses that a running gateway is bound to. */
export interface GatewayAddresses {
  readonly callers: Address;
  readonly readiness: Address;
  readonly metrics: Address;
}

/** A daemon at a platform's entry: its servers and its background loops. */
export class Gateway {
  readonly wiring: GatewayWiring;
  private readonly readiness: TextServer;
  private readonly metricsServer: TextServer;
  private isLeaving = false;

  constructor(settings: GatewaySettings, options: GatewayOptions = {}) {
    const clock = options.clock ?? new SteadyClock();
    const seed = options.seed ?? Math.floor(clock.nowMs()) ^ process.pid;
    this.wiring = wireGateway(settings, clock, seed);
    this.readiness = new TextServer({
      [settings.listen.readinessPath]: () => this.readinessAnswer(),
    });
    this.metricsServer = new TextServer({
      [METRICS_PATH]: async () => ({
        status: 200,
        text: await this.wiring.metrics.text(),
      }),
    });
  }

  /** Ready once a configuration and the endpoints are known, until the stop. */
  get isReady(): boolean {
    const { configuration, pool } = this.wiring;
    return !this.isLeaving && configuration.version > 0 && pool.revision > 0;
  }

  async start(): Promise<GatewayAddresses> {
    const { cluster, front, log, loops, settings } = this.wiring;
    const { listen } = settings;
    const [callers, readiness, metrics] = await Promise.all([
      front.listen(listen.callers),
      this.readiness.listen(listen.readiness),
      this.metricsServer.listen(listen.metrics),
      cluster.listen(),
    ]);
    for (const loop of loops) loop.start();
    log.info(LogPart.Daemon, 'The daemon has started.', {
      callers,
      startedInMs: Math.round(performance.now()),
    });
    return { callers, readiness, metrics };
  }

  /** Puts changed settings in force as far as that needs no restart, and says what does. */
  applySettings(next: GatewaySettings): void {
    const { log, settings } = this.wiring;
    const needsRestart = RESTART_SECTIONS.filter(
      section =>
        JSON.stringify(next[section]) !== JSON.stringify(settings[section]),
    );
    settings.platform.seeds = next.platform.seeds;
    Object.assign(settings.bounds, next.bounds);
    log.info(LogPart.Daemon, 'The settings have changed.', {
      needsRestart: needsRestart.join(','),
    });
  }

  /** Notes settings that cannot be used; the last good ones stay. */
  noteBadSettings(message: string): void {
    const { log, metrics } = this.wiring;
    metrics.increment('settings.faults');
    log.warn(LogPart.Daemon, 'Changed settings cannot be used.', { message });
  }

  /**
   * Stops gracefully: not ready at once, still serving what arrives, and gone
   * once the balancer has turned away and the last answer is out.
   */
  async stop(): Promise<void> {
    if (this.isLeaving) return;
    this.isLeaving = true;
    const { clock, front, log, settings } = this.wiring;
    const stoppedAtMs = clock.nowMs();
    log.info(LogPart.Daemon, 'The daemon is leaving.', {
      answersInProgress: front.answersInProgress,
    });
    front.leave();
    const { cluster, duties } = this.wiring;
    void duties.holder.release();
    void cluster.membership.leave();
    const graceMs = settings.bounds.gracePeriodSeconds * MS_PER_SECOND;
    await clock.waitUntil(stoppedAtMs + Math.min(BALANCER_LAG_MS, graceMs / 2));
    front.closeEntrance();
    const endsAtMs = stoppedAtMs + graceMs - LAST_CALL_MS;
    const answered = front.idle();
    await Promise.race([answered, clock.waitUntil(endsAtMs - MIN_SERVE_MS)]);
    front.refuseNew();
    await Promise.race([answered, clock.waitUntil(endsAtMs)]);
    const { answersInProgress } = front;
    await this.end();
    log.info(LogPart.Daemon, 'The daemon has stopped.', { answersInProgress });
  }

  /** Ends at once, as a killed process does. */
  async end(): Promise<void> {
    this.isLeaving = true;
    const { cluster, endpointClient, front, http, loops } = this.wiring;
    front.destroy();
    cluster.destroy();
    this.readiness.destroy();
    this.metricsServer.destroy();
    const stopped = loops.map(loop => loop.stop());
    await Promise.all([endpointClient.close(), http.close()]);
    await Promise.all(stopped);
  }

  private readinessAnswer(): TextAnswer {
    return this.isReady
      ? { status: 200, text: 'ready' }
      : { status: 503, text: 'not ready' };
  }
}
