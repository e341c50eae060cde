import { setTimeout as delay } from 'node:timers/promises';

import type { Address } from '@skylarkreach/core/ports';
import type { EndpointServer } from '@skylarkreach/platform/stand-ins';
import { EndpointMode } from '@skylarkreach/platform/stand-ins';

import type { SoakPlan } from '../gateway/index.js';
import { GatewayDeployment, groupOf } from '../gateway/index.js';
import type { ColdSpan } from './cold-faults.js';
import { startSpan } from './cold-faults.js';
import { LinkFault, LinkProxy } from './link-proxy.js';
import type { SoakAct } from './loss-checks.js';
import { ActKind } from './loss-checks.js';

const ENDPOINTS_BY_GROUP: readonly (readonly [string, number])[] = [
  ['ledger', 3],
  ['records', 2],
  ['engines', 3],
];
export const STREAM_EVENTS = 8;
const EVENT_GAP_MS = 90;
const PLAIN_RUN_MS = 40;
/** Age of the endpoints that are there when a soak begins, by which they are warm. */
const FIRST_AGE_MS = 60_000;
/** Time for which a leaving endpoint goes on serving. */
const LEAVING_MS = 3_000;
const MIN_FAULT_MS = 500;
const FAULT_SPREAD_MS = 1_500;
const SILENCE_SPREAD_MS = 1_000;
/** Time after a silence for which the same endpoint is not silent again, lest the two be one long silence. */
const MIN_SILENCE_GAP_MS = 2_000;
const SILENCES = [
  LinkFault.Silent,
  LinkFault.HoldsRequests,
  LinkFault.HoldsResponses,
];

export enum EndpointFault {
  Link = 'link',
  /** One endpoint falls silent, and the others of its group fail meanwhile. */
  SilenceBesideFailures = 'silenceBesideFailures',
  /** An endpoint is silent for about a second and goes on. */
  Silence = 'silence',
  /** All endpoints of a group are silent at once and go on. */
  GroupSilence = 'groupSilence',
  ResetLink = 'resetLink',
  Drain = 'drain',
  End = 'end',
  Move = 'move',
  CloseIdle = 'closeIdle',
  Fail = 'fail',
  SayLeaving = 'sayLeaving',
  SayBrittle = 'sayBrittle',
}

/** Records an act; its end is infinite until it is set. */
export type RecordAct = (
  kind: ActKind,
  subject: string,
  detail?: string,
) => SoakAct;

type SoakEntry = Readonly<Record<string, unknown>>;

/** Endpoints of a soak behind links of their own, and their faults. */
export class EndpointFaults {
  readonly deployment = new GatewayDeployment((address, id) =>
    this.expose(address, id),
  );
  readonly drainedAtMs = new Map<string, number>();
  /** Times for which endpoints are cold after their start. */
  readonly startSpans: ColdSpan[] = [];
  private readonly links = new Map<string, LinkProxy>();
  private readonly proxies: LinkProxy[] = [];
  private readonly usable: EndpointServer[] = [];
  /** Time until which an endpoint is not silent again. */
  private readonly soundUntilMs = new Map<string, number>();
  private readonly dataCentreById = new Map<string, string>();
  private readonly entries = new Map<EndpointServer, SoakEntry>();
  private added = 0;

  constructor(
    private readonly plan: SoakPlan,
    private readonly record: RecordAct,
    /** Data centres of the endpoints, in turn. */
    private readonly dataCentres: readonly string[] = ['north-1'],
    /** Fields of all endpoints' entries. */
    private readonly commonEntry: SoakEntry = {},
    /** Load that all endpoints report. */
    private readonly reportedLoad?: string,
  ) {}

  /** Returns the data centre of an endpoint; undefined if there was none with the id. */
  dataCentreOf(id: string): string | undefined {
    return this.dataCentreById.get(id);
  }

  async start(): Promise<void> {
    await this.deployment.start();
    for (const [group, count] of ENDPOINTS_BY_GROUP)
      for (let index = 0; index < count; index += 1)
        await this.add(group, undefined, FIRST_AGE_MS);
  }

  pickUsable(): EndpointServer {
    return this.plan.pick(this.usable);
  }

  /** Replaces fields of an endpoint's entry, unless the endpoint is leaving. */
  updateEntry(endpoint: EndpointServer, fields: SoakEntry): void {
    if (!this.usable.includes(endpoint)) return;
    const { address, id } = endpoint;
    const exposed = this.exposedAddresses.get(address) ?? '';
    const entry = { ...this.entries.get(endpoint), ...fields };
    this.deployment.store.register(id, groupOf(endpoint), exposed, entry);
  }

  async destroy(): Promise<void> {
    for (const proxy of this.proxies) proxy.destroy();
    await this.deployment.destroy();
  }

  async apply(fault: EndpointFault): Promise<void> {
    const endpoint = this.pickUsable();
    const { id } = endpoint;
    switch (fault) {
      case EndpointFault.Link:
        await this.disturbLink(id);
        break;
      case EndpointFault.SilenceBesideFailures: {
        const others = this.usable.filter(
          each => each !== endpoint && groupOf(each) === groupOf(endpoint),
        );
        await Promise.all([
          this.disturbLink(id, LinkFault.Silent),
          ...others.map(each => this.fail(each)),
        ]);
        break;
      }
      case EndpointFault.Silence:
        await this.silence(endpoint);
        break;
      case EndpointFault.GroupSilence: {
        const group = this.usable.filter(
          each => groupOf(each) === groupOf(endpoint),
        );
        await Promise.all(group.map(each => this.silence(each)));
        break;
      }
      case EndpointFault.ResetLink:
        this.once(ActKind.ResetEndpointLink, id);
        this.links.get(id)?.resetConnections();
        break;
      case EndpointFault.Drain:
        await this.drain(endpoint);
        break;
      case EndpointFault.End:
        await this.replace(endpoint);
        this.end(endpoint);
        await delay(this.faultMs());
        this.deployment.store.state.delete(`servers/${id}`);
        break;
      case EndpointFault.Move:
        this.remove(endpoint);
        await this.add(groupOf(endpoint), id);
        await delay(LEAVING_MS);
        this.record(ActKind.MoveEndpoint, id);
        endpoint.destroy();
        break;
      case EndpointFault.CloseIdle:
        this.once(ActKind.CloseIdle, id);
        endpoint.closeIdleConnections();
        break;
      case EndpointFault.Fail:
        await this.fail(endpoint);
        break;
      case EndpointFault.SayLeaving:
        await this.replace(endpoint);
        this.record(ActKind.State, id, 'leaving');
        endpoint.isLeaving = true;
        await delay(LEAVING_MS);
        this.end(endpoint);
        this.deployment.store.state.delete(`servers/${id}`);
        break;
      case EndpointFault.SayBrittle: {
        const act = this.record(ActKind.State, id, 'brittle');
        const fromMs = performance.now() + LEAVING_MS;
        endpoint.brittleness = { maxRejectionsPerSecond: 5, fromMs };
        await delay(LEAVING_MS);
        endpoint.brittleness = undefined;
        act.untilMs = performance.now();
      }
    }
  }

  private async fail(endpoint: EndpointServer): Promise<void> {
    const act = this.record(ActKind.Fail, endpoint.id);
    endpoint.mode = EndpointMode.FailsAfterRun;
    await delay(this.faultMs());
    endpoint.mode = EndpointMode.Responds;
    act.untilMs = performance.now();
  }

  private async disturbLink(
    id: string,
    fault = this.plan.pick(Object.values(LinkFault).slice(1)),
    forMs = this.faultMs(),
  ): Promise<void> {
    const link = this.links.get(id);
    if (link?.fault !== LinkFault.None) return;
    const act = this.record(ActKind.EndpointLink, id, fault);
    link.fault = fault;
    await delay(forMs);
    link.fault = LinkFault.None;
    act.untilMs = performance.now();
  }

  private async silence({ id }: EndpointServer): Promise<void> {
    const nowMs = performance.now();
    if (nowMs < (this.soundUntilMs.get(id) ?? 0)) return;
    const forMs = this.plan.nextMs(MIN_FAULT_MS, SILENCE_SPREAD_MS);
    this.soundUntilMs.set(id, nowMs + forMs + MIN_SILENCE_GAP_MS);
    await this.disturbLink(id, this.plan.pick(SILENCES), forMs);
  }

  private async drain(endpoint: EndpointServer): Promise<void> {
    const { address, id } = endpoint;
    const { store } = this.deployment;
    await this.replace(endpoint);
    this.record(ActKind.Drain, id);
    const group = groupOf(endpoint);
    const exposed = this.exposedAddresses.get(address) ?? '';
    store.register(id, group, exposed, { State: 'draining' });
    this.drainedAtMs.set(id, performance.now());
    await delay(LEAVING_MS);
    store.state.delete(`servers/${id}`);
    this.end(endpoint);
  }

  /** Adds an endpoint in place of one that is about to end. */
  private async replace(endpoint: EndpointServer): Promise<void> {
    this.remove(endpoint);
    await this.add(groupOf(endpoint));
  }

  private remove(endpoint: EndpointServer): void {
    this.usable.splice(this.usable.indexOf(endpoint), 1);
  }

  private end(endpoint: EndpointServer): void {
    this.record(ActKind.EndEndpoint, endpoint.id);
    endpoint.destroy();
  }

  private async add(group: string, knownId?: string, ageMs = 0): Promise<void> {
    this.added += 1;
    const id = knownId ?? `${group}-${this.added}`;
    const options = {
      events: STREAM_EVENTS,
      eventGapMs: EVENT_GAP_MS,
      plainRunMs: PLAIN_RUN_MS,
    };
    const Zone =
      this.dataCentreById.get(id) ??
      this.dataCentres[this.added % this.dataCentres.length] ??
      '';
    this.dataCentreById.set(id, Zone);
    const born = Math.floor(Date.now()) - ageMs;
    const entry = { ...this.commonEntry, born, Zone };
    const endpoint = await this.deployment.addEndpoint(
      group,
      id,
      options,
      entry,
    );
    endpoint.reportedLoad = this.reportedLoad;
    this.usable.push(endpoint);
    this.entries.set(endpoint, entry);
    if (ageMs === 0) this.startSpans.push(startSpan(endpoint));
  }

  private readonly exposedAddresses = new Map<Address, Address>();

  private async expose(own: Address, id: string): Promise<Address> {
    const { address, proxy } = await LinkProxy.start(own);
    this.links.set(id, proxy);
    this.proxies.push(proxy);
    this.exposedAddresses.set(own, address);
    return address;
  }

  private once(kind: ActKind, subject: string): void {
    const act = this.record(kind, subject);
    act.untilMs = act.fromMs;
  }

  private faultMs(): number {
    return this.plan.nextMs(MIN_FAULT_MS, FAULT_SPREAD_MS);
  }
}
