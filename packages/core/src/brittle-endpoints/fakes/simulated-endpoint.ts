import type { EndpointRecord, ReportedLoad } from '../../forwarding/index.js';
import { EndpointState } from '../../forwarding/index.js';

const WINDOW_MS = 1_000;

/** How an endpoint ends a request. */
export enum SimulatedEnd {
  Served = 'served',
  Rejected = 'rejected',
  /** The endpoint has fallen over. */
  Lost = 'lost',
}

interface WaitingRequest {
  readonly serviceMs: number;
  readonly end: (end: SimulatedEnd) => void;
  /** Whether its daemon has run without disturbance for a contact time. */
  readonly isInTouch: boolean;
}

export interface SimulatedEndpointOptions {
  readonly id: string;
  readonly group: string;
  readonly slots: number;
  readonly waitingPlaces: number;
  readonly backAfterMs: number;
}

/** Endpoint that falls over if it has to reject too many requests in a second. */
export class SimulatedEndpoint {
  bornAtMs = 1;
  maxRejectionsPerSecond: number | undefined;
  /** Time from which rejections make it fall over. */
  fragileFromMs = Infinity;
  /** Number of times that it fell over because of daemons in touch. */
  falls = 0;
  silentUntilMs = 0;
  downUntilMs = 0;
  private rejections: { atMs: number; isInTouch: boolean }[] = [];
  private running: { endsAtMs: number; request: WaitingRequest }[] = [];
  private waiting: WaitingRequest[] = [];
  /** Requests that arrived while the endpoint was silent. */
  private unread: WaitingRequest[] = [];

  constructor(private readonly options: SimulatedEndpointOptions) {}

  get load(): ReportedLoad {
    const { slots } = this.options;
    const running = this.running.length;
    return { running, waiting: this.waiting.length, slots };
  }

  record(): EndpointRecord {
    const { group, id, slots } = this.options;
    return {
      id,
      address: `${id}:80`,
      group,
      dataCentre: 'north-1',
      version: 'v1',
      slots,
      state: EndpointState.Ready,
      coldRemainingMs: 0,
      isReclaimable: false,
      leavesInMs: undefined,
      bornAtMs: this.bornAtMs,
    };
  }

  isUp(nowMs: number): boolean {
    return nowMs >= this.downUntilMs;
  }

  receive(request: WaitingRequest, nowMs: number): void {
    if (!this.isUp(nowMs)) request.end(SimulatedEnd.Lost);
    else if (nowMs < this.silentUntilMs) this.unread.push(request);
    else this.accept(request, nowMs);
  }

  step(nowMs: number): void {
    if (nowMs < this.silentUntilMs) return;
    for (const request of this.unread.splice(0)) this.accept(request, nowMs);
    const ended = this.running.filter(each => each.endsAtMs <= nowMs);
    this.running = this.running.filter(each => each.endsAtMs > nowMs);
    for (const { request } of ended) request.end(SimulatedEnd.Served);
    while (this.running.length < this.options.slots) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      this.start(next, nowMs);
    }
  }

  private accept(request: WaitingRequest, nowMs: number): void {
    const { slots, waitingPlaces } = this.options;
    const places = nowMs < this.fragileFromMs ? slots * 4 : waitingPlaces;
    if (this.running.length < slots) this.start(request, nowMs);
    else if (this.waiting.length < places) this.waiting.push(request);
    else this.reject(request, nowMs);
  }

  private start(request: WaitingRequest, nowMs: number): void {
    this.running.push({ request, endsAtMs: nowMs + request.serviceMs });
  }

  private reject(request: WaitingRequest, nowMs: number): void {
    request.end(SimulatedEnd.Rejected);
    if (nowMs < this.fragileFromMs) return;
    this.rejections = this.rejections.filter(
      ({ atMs }) => nowMs - atMs < WINDOW_MS,
    );
    this.rejections.push({ atMs: nowMs, isInTouch: request.isInTouch });
    const max = this.maxRejectionsPerSecond ?? Infinity;
    if (this.rejections.length > max) this.fall(nowMs);
  }

  private fall(nowMs: number): void {
    const inTouch = this.rejections.filter(each => each.isInTouch).length;
    if (inTouch > this.rejections.length / 2) this.falls += 1;
    this.bornAtMs += 1;
    this.downUntilMs = nowMs + this.options.backAfterMs;
    this.rejections = [];
    const requests = [
      ...this.running.map(each => each.request),
      ...this.waiting,
      ...this.unread,
    ];
    this.running = [];
    this.waiting = [];
    this.unread = [];
    for (const request of requests) request.end(SimulatedEnd.Lost);
  }
}
