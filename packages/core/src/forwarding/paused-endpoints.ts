import type { Log, Metrics } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import { BoundedMap } from '../routing/index.js';
import type { EndpointRecord } from './endpoint-record.js';

/** Number of endpoints that are remembered. */
const MAX_KNOWN_ENDPOINTS = 4_096; // bounds memory to about 1 MB

/** Incarnation of an endpoint that wants nothing from this daemon for a while. */
interface PausedEndpoint {
  readonly address: string;
  readonly bornAtMs: number | undefined;
  readonly untilMs: number;
}

export interface PausedEndpointsDependencies {
  readonly nowMs: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Endpoints that have rejected a request of this daemon and want no others from it before a time. */
export class PausedEndpoints {
  private readonly byId = new BoundedMap<string, PausedEndpoint>(
    MAX_KNOWN_ENDPOINTS,
  );

  constructor(private readonly deps: PausedEndpointsDependencies) {}

  /** Returns the milliseconds until the endpoint may be sent a request; 0 if it may now. */
  waitMs({ address, bornAtMs, id }: EndpointRecord): number {
    const known = this.byId.get(id);
    const isKnown = known?.address === address && known.bornAtMs === bornAtMs;
    return isKnown ? Math.max(0, known.untilMs - this.deps.nowMs()) : 0;
  }

  /** Records that the endpoint has just asked for a pause. */
  record(endpoint: EndpointRecord, pauseMs: number): void {
    const waitMs = this.waitMs(endpoint);
    if (pauseMs <= waitMs) return;
    const { address, bornAtMs, id } = endpoint;
    const untilMs = this.deps.nowMs() + pauseMs;
    this.byId.set(id, { address, bornAtMs, untilMs });
    if (waitMs > 0) return;
    const { log, metrics } = this.deps;
    metrics.increment('endpoints.paused', 1);
    log.info(LogComponent.Routing, 'An endpoint asks for a pause.', {
      endpoint: id,
      address,
      pauseMs: Math.round(pauseMs),
    });
  }
}
