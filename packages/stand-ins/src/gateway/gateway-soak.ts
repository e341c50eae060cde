import { setTimeout as delay } from 'node:timers/promises';

import { Agent, request } from 'undici';

import type { EndpointServer } from '@skylarkreach/platform/stand-ins';
import { sampleCall, StoreFault } from '@skylarkreach/platform/stand-ins';

import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import type { SoakCall, SoakLimit } from './soak-checks.js';
import { findViolations, SoakCallKind } from './soak-checks.js';
import { CRASHING_TARGET, groupOf, pathOf, SoakPlan } from './soak-plan.js';

const GATEWAYS = 3;
const MAX_GATEWAYS = 6;
const ENDPOINTS_PER_GROUP = 3;
const STREAM_EVENTS = 4;
const MIN_CALL_GAP_MS = 10;
const CALL_GAP_SPREAD_MS = 30;
const LIMITS_PER_SECOND = [0.5, 1, 2, 5];
const CRASHING_CALLS = 4;
const OUTAGE_MS = 1_000;
/** Time for which a leaving endpoint goes on serving. */
const LEAVING_MS = 3_000;
const DEADLINE_MS = 3_000;

export enum Disturbance {
  StopGateway = 'stopGateway',
  KillGateway = 'killGateway',
  JoinGateway = 'joinGateway',
  NameLimit = 'nameLimit',
  EndLimit = 'endLimit',
  DrainEndpoint = 'drainEndpoint',
  StoreOutage = 'storeOutage',
  Configure = 'configure',
  CrashingCalls = 'crashingCalls',
}

/** Gateway with the callers' open connections to it. */
interface SoakGateway {
  /** Differs for each start. */
  readonly id: string;
  readonly daemonId: string;
  readonly running: RunningGateway;
  readonly agent: Agent;
  isEnding: boolean;
}

/**
 * Load on several gateways while they stop, are killed and join, while endpoints
 * name limits, leave and crash, and while the store is away. Disturbances overlap.
 */
export class GatewaySoak {
  private readonly deployment = new GatewayDeployment();
  private readonly plan: SoakPlan;
  private readonly gateways: SoakGateway[] = [];
  private readonly tasks: Promise<unknown>[] = [];
  private readonly calls: SoakCall[] = [];
  private readonly limits: SoakLimit[] = [];
  private readonly openLimits = new Map<EndpointServer, number>();
  private readonly crashesAtMs: number[] = [];
  private readonly replaced = new Set<EndpointServer>();
  private readonly drainedAtMs = new Map<string, number>();
  private readonly killedGateways = new Set<string>();
  private readonly gatewayStartsAtMs: number[] = [];
  private readonly storeOutages: { fromMs: number; untilMs: number }[] = [];
  private requestCount = 0;
  private configurationVersion = 1;

  constructor(
    seed: number,
    private readonly disturbances = Object.values(Disturbance),
  ) {
    this.plan = new SoakPlan(seed);
  }

  /** Runs for the given time and returns a line for each promise that was broken. */
  async run(durationMs: number): Promise<readonly string[]> {
    await this.deployment.start();
    for (let count = 0; count < ENDPOINTS_PER_GROUP; count += 1) {
      await this.addEndpoint('ledger');
      await this.addEndpoint('engines');
    }
    for (let count = 0; count < GATEWAYS; count += 1) {
      await this.startGateway(`daemon-${count}`);
    }
    const endAtMs = performance.now() + durationMs;
    const disturbing = this.plan.disturb(endAtMs, this.disturbances, each =>
      this.apply(each),
    );
    await Promise.all([this.generateLoad(endAtMs), disturbing]);
    await Promise.all(this.tasks);
    for (const endpoint of this.openLimits.keys()) this.endLimit(endpoint);
    await Promise.all(this.gateways.map(({ agent }) => agent.destroy()));
    await this.deployment.destroy();
    return findViolations({
      calls: this.calls,
      runs: this.deployment.endpoints.flatMap(endpoint =>
        endpoint.runs.map(({ readAtMs, requestId }) => ({
          requestId,
          endpointId: endpoint.id,
          atMs: readAtMs,
        })),
      ),
      limits: this.limits,
      crashesAtMs: this.crashesAtMs,
      drainedAtMs: this.drainedAtMs,
      killedGateways: this.killedGateways,
      gatewayStartsAtMs: this.gatewayStartsAtMs,
      storeOutages: this.storeOutages,
      streamEvents: STREAM_EVENTS,
    });
  }

  private async generateLoad(endAtMs: number): Promise<void> {
    const kinds = [
      SoakCallKind.Lookup,
      SoakCallKind.Lookup,
      SoakCallKind.Posting,
      SoakCallKind.Draft,
    ];
    while (performance.now() < endAtMs) {
      this.tasks.push(this.send(this.plan.pick(kinds)));
      await this.replaceCrashed();
      await delay(this.plan.nextMs(MIN_CALL_GAP_MS, CALL_GAP_SPREAD_MS));
    }
  }

  private async apply(disturbance: Disturbance): Promise<void> {
    switch (disturbance) {
      case Disturbance.StopGateway:
      case Disturbance.KillGateway:
        await this.restartGateway(disturbance === Disturbance.KillGateway);
        break;
      case Disturbance.JoinGateway:
        if (this.gateways.length < MAX_GATEWAYS)
          await this.startGateway(`joined-${this.gatewayStartsAtMs.length}`);
        break;
      case Disturbance.NameLimit: {
        const endpoint = this.pickEndpoint();
        this.endLimit(endpoint);
        endpoint.limitPerSecond = this.plan.pick(LIMITS_PER_SECOND);
        this.openLimits.set(endpoint, performance.now());
        break;
      }
      case Disturbance.EndLimit:
        for (const endpoint of this.openLimits.keys()) this.endLimit(endpoint);
        break;
      case Disturbance.DrainEndpoint:
        await this.replaceLeaving(this.pickEndpoint());
        break;
      case Disturbance.StoreOutage:
        await this.interruptStore();
        break;
      case Disturbance.Configure:
        this.configurationVersion += 1;
        this.deployment.writeConfiguration(this.configurationVersion);
        break;
      case Disturbance.CrashingCalls:
        for (let count = 0; count < CRASHING_CALLS; count += 1) {
          await this.send(SoakCallKind.Crashing);
        }
    }
  }

  private async startGateway(daemonId: string): Promise<void> {
    const running = await this.deployment.addGateway(daemonId);
    this.gatewayStartsAtMs.push(performance.now());
    const id = `${daemonId}/${this.gatewayStartsAtMs.length}`;
    const agent = new Agent();
    this.gateways.push({ id, daemonId, running, agent, isEnding: false });
  }

  /** Stops or kills a gateway while others run, and starts it again. Callers use their connections until it is gone. */
  private async restartGateway(isKill: boolean): Promise<void> {
    const candidates = this.gateways.filter(each => !each.isEnding);
    if (candidates.length < GATEWAYS) return;
    const gateway = this.plan.pick(candidates);
    gateway.isEnding = true;
    if (isKill) this.killedGateways.add(gateway.id);
    else await gateway.running.gateway.stop();
    this.gateways.splice(this.gateways.indexOf(gateway), 1);
    await this.deployment.removeGateway(gateway.running);
    await this.startGateway(gateway.daemonId);
  }

  private async addEndpoint(group: string): Promise<void> {
    const id = `${group}-${this.deployment.endpoints.length}`;
    const events = STREAM_EVENTS;
    const endpoint = await this.deployment.addEndpoint(group, id, { events });
    endpoint.crashingTarget = CRASHING_TARGET;
  }

  private async replaceLeaving(endpoint: EndpointServer): Promise<void> {
    const { store } = this.deployment;
    const group = groupOf(endpoint);
    await this.addEndpoint(group);
    const { address, id } = endpoint;
    store.register(id, group, address, { State: 'draining' });
    this.drainedAtMs.set(id, performance.now());
    await delay(LEAVING_MS);
    this.endLimit(endpoint);
    store.state.delete(`servers/${id}`);
  }

  private async replaceCrashed(): Promise<void> {
    const { endpoints, store } = this.deployment;
    const crashed = endpoints.filter(
      each => each.hasCrashed && !this.replaced.has(each),
    );
    for (const endpoint of crashed) {
      this.replaced.add(endpoint);
      store.state.delete(`servers/${endpoint.id}`);
      this.crashesAtMs.push(performance.now());
      this.endLimit(endpoint);
      await this.addEndpoint(groupOf(endpoint));
    }
  }

  private async interruptStore(): Promise<void> {
    const { store } = this.deployment;
    const fromMs = performance.now();
    store.fault = this.plan.pick([StoreFault.Unavailable, StoreFault.Hangs]);
    const outage = { fromMs, untilMs: fromMs + OUTAGE_MS };
    this.storeOutages.push(outage);
    await delay(OUTAGE_MS);
    outage.untilMs = performance.now();
    store.fault = StoreFault.None;
  }

  private endLimit(endpoint: EndpointServer): void {
    const fromMs = this.openLimits.get(endpoint);
    const { id: endpointId, limitPerSecond } = endpoint;
    if (fromMs === undefined || limitPerSecond === undefined) return;
    const untilMs = performance.now();
    this.limits.push({ endpointId, limitPerSecond, fromMs, untilMs });
    this.openLimits.delete(endpoint);
    endpoint.limitPerSecond = undefined;
  }

  private async send(kind: SoakCallKind): Promise<void> {
    const gateway = this.plan.pick(this.gateways);
    this.requestCount += 1;
    const id = `${kind}-${this.requestCount}`;
    const call = sampleCall(id, DEADLINE_MS, kind === SoakCallKind.Draft);
    const path = pathOf(kind, call.path, id);
    let status: number | undefined;
    let text: string | undefined;
    try {
      const response = await request(
        `http://${gateway.running.addresses.callers}${path}`,
        { headers: call.headers, dispatcher: gateway.agent },
      );
      status = response.statusCode;
      text = await response.body.text();
    } catch {
      // What the caller lacks then is judged with the record.
    }
    const gatewayId = gateway.id;
    this.calls.push({ id, kind, gatewayId, status, text });
  }

  private pickEndpoint(): EndpointServer {
    const usable = this.deployment.endpoints.filter(
      endpoint => !endpoint.hasCrashed && !this.drainedAtMs.has(endpoint.id),
    );
    return this.plan.pick(usable);
  }
}
