import { MemoryKeyValue } from '@skylarkreach/core/fakes';
import type {
  Address,
  Clock,
  DataCentre,
  Endpoint,
  KeyValue,
} from '@skylarkreach/core/ports';
import {
  EndpointKind,
  EndpointStage,
  InstanceBilling,
  InstanceState,
} from '@skylarkreach/core/ports';
import { createRulesEntry, RULES_KEY } from '@skylarkreach/core/rules';
import type { BoundAddresses, Settings } from '@skylarkreach/daemon';
import { Daemon, LogLevel, SystemClock } from '@skylarkreach/daemon';

import { CloudServer, MemoryCloud } from '../cloud/index.js';
import type { ModelEngineOptions } from '../engine/index.js';
import { EngineServer, ModelEngine } from '../engine/index.js';
import { KeyValueServer } from '../key-value/index.js';
import type { PlainServiceOptions } from '../service/index.js';
import { PlainService, ServiceServer } from '../service/index.js';
import { ANY_PORT, daemonSettings } from './daemon-settings.js';
import { ProcessClock } from './process-clock.js';
import { SAMPLE_RULES } from './sample-rules.js';

const POLL_INTERVAL_MS = 20;
const LIST_LAG_MS = 1_000;

export interface LocalDeploymentOptions {
  readonly daemons: number;
  readonly engines: number;
  /** Data centres that daemons and engines are spread over in turn. */
  readonly dataCentres: readonly DataCentre[];
  readonly logLevel: LogLevel;
  readonly rules: string;
  readonly engineOptions: Partial<ModelEngineOptions>;
  readonly serviceOptions: Partial<PlainServiceOptions>;
  /** Plain services that act on keys, as the daemons' settings list them. */
  readonly services: Settings['services'];
  /** Tokens of further workspaces, by workspace. */
  readonly workspaceTokens: Readonly<Record<string, string>>;
  /** Wraps the key-value store, to inject faults. */
  readonly wrapKeyValue: (store: KeyValue) => KeyValue;
}

const DEFAULT_OPTIONS: LocalDeploymentOptions = {
  daemons: 3,
  engines: 3,
  dataCentres: ['north-1', 'north-2'],
  logLevel: LogLevel.Warn,
  rules: SAMPLE_RULES,
  engineOptions: {},
  serviceOptions: {},
  services: [],
  workspaceTokens: {},
  wrapKeyValue: store => store,
};

/** A model engine of the deployment. */
export interface RunningEngine {
  readonly address: Address;
  readonly instanceId: string;
  readonly dataCentre: DataCentre;
  readonly engine: ModelEngine;
  readonly server: EngineServer;
}

/** A daemon of the deployment. */
export interface RunningDaemon {
  readonly id: string;
  readonly instanceId: string;
  readonly dataCentre: DataCentre;
  readonly addresses: BoundAddresses;
  readonly daemon: Daemon;
  readonly clock: ProcessClock;
}

/** An endpoint whose reclaim was announced. */
export interface LeavingEndpoint {
  readonly address: Address;
  readonly announcedAtMs: number;
}

/** Daemons, engines, a plain service and the platform's stand-ins in one process. */
export class LocalDeployment {
  readonly clock: Clock = new SystemClock();
  readonly store: MemoryKeyValue;
  readonly cloud: MemoryCloud;
  readonly service: PlainService;
  /** Every engine that was started, the ones taken away included. */
  readonly engines: RunningEngine[] = [];
  /** The daemons that run. */
  readonly daemons: RunningDaemon[] = [];
  readonly leavingEndpoints: LeavingEndpoint[] = [];
  serviceAddress: Address = ANY_PORT;
  private readonly options: LocalDeploymentOptions;
  private readonly servers: { destroy(): void }[] = [];
  private keyValueAddress: Address = ANY_PORT;
  private cloudAddress: Address = ANY_PORT;
  private startedDaemons = 0;
  private readonly goneEngines = new Set<RunningEngine>();

  constructor(options: Partial<LocalDeploymentOptions> = {}) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
    this.service = new PlainService(this.options.serviceOptions);
    this.store = new MemoryKeyValue(this.clock);
    this.cloud = new MemoryCloud(this.clock, LIST_LAG_MS);
  }

  /** Starts every part; ports are free ones. */
  async start(): Promise<void> {
    await this.startPlatform();
    for (let index = 0; index < this.options.engines; index += 1) {
      await this.addEngine(this.dataCentreAt(index));
    }
    await this.addService();
    for (let index = 0; index < this.options.daemons; index += 1) {
      await this.addDaemon(this.dataCentreAt(index));
    }
    await this.untilIntroduced();
  }

  /** Stops the daemons gracefully, then the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(each => each.daemon.stop()));
    for (const engine of this.engines) engine.server.destroy();
    for (const server of this.servers) server.destroy();
    this.store.close();
  }

  async addDaemon(dataCentre: DataCentre): Promise<RunningDaemon> {
    this.startedDaemons += 1;
    const id = `daemon-${this.startedDaemons}`;
    const instanceId = `host-of-${id}`;
    const clock = new ProcessClock(this.clock);
    const daemon = new Daemon(
      daemonSettings({
        identity: { daemonId: id, dataCentre, instanceId },
        keyValueAddress: this.keyValueAddress,
        cloudAddress: this.cloudAddress,
        logLevel: this.options.logLevel,
        services: this.options.services,
        workspaceTokens: this.options.workspaceTokens,
      }),
      { clock },
    );
    const addresses = await daemon.start();
    this.addInstance(instanceId, dataCentre);
    this.cloud.addDaemon(daemon.wiring.identity);
    const running = { id, instanceId, dataCentre, addresses, daemon, clock };
    this.daemons.push(running);
    return running;
  }

  async addEngine(
    dataCentre: DataCentre,
    options: Partial<ModelEngineOptions> = {},
  ): Promise<RunningEngine> {
    const engine = new ModelEngine(this.clock, {
      ...this.options.engineOptions,
      ...options,
    });
    const server = new EngineServer(ANY_PORT, engine);
    const address = await server.listen();
    const instanceId = `engine-${this.engines.length + 1}`;
    this.addToCloud({
      address,
      instanceId,
      dataCentre,
      kind: EndpointKind.Model,
      group: 'ruling-model',
      version: engine.options.version,
    });
    const running = { address, instanceId, dataCentre, engine, server };
    this.engines.push(running);
    return running;
  }

  /** Announces that the instances of a data centre are taken at `reclaimAtMs`. */
  announceReclaim(dataCentre: DataCentre, reclaimAtMs: number): void {
    const announcedAtMs = this.clock.nowMs();
    for (const { address, instanceId } of this.enginesIn(dataCentre)) {
      this.leavingEndpoints.push({ address, announcedAtMs });
      this.cloud.announceReclaim(instanceId, reclaimAtMs);
    }
    for (const { instanceId } of this.daemonsIn(dataCentre)) {
      this.cloud.announceReclaim(instanceId, reclaimAtMs);
    }
  }

  /** Takes the engines and daemons of a data centre away at once. */
  async takeDataCentre(dataCentre: DataCentre): Promise<void> {
    for (const engine of this.enginesIn(dataCentre)) this.killEngine(engine);
    const daemons = this.daemonsIn(dataCentre);
    await Promise.all(daemons.map(each => this.killDaemon(each)));
  }

  /** Announces a reclaim of a data centre and carries it out. */
  async reclaim(dataCentre: DataCentre, reclaimAtMs: number): Promise<void> {
    this.announceReclaim(dataCentre, reclaimAtMs);
    await this.clock.waitUntil(reclaimAtMs);
    await this.takeDataCentre(dataCentre);
  }

  /** URLs that callers reach the daemons by. */
  callerUrls(): readonly string[] {
    return this.daemons.map(({ addresses }) => `http://${addresses.callers}`);
  }

  /** Ends an engine at once, with all its streams. */
  killEngine(killed: RunningEngine): void {
    this.goneEngines.add(killed);
    killed.server.destroy();
    this.cloud.removeEndpoint(killed.address);
  }

  /** The engines that run. */
  liveEngines(): readonly RunningEngine[] {
    return this.engines.filter(each => !this.goneEngines.has(each));
  }

  /** Stops a daemon gracefully. */
  async stopDaemon(stopped: RunningDaemon): Promise<void> {
    if (!this.removeDaemon(stopped)) return;
    await stopped.daemon.stop();
  }

  /** Ends a daemon at once, as a killed process does. */
  async killDaemon(killed: RunningDaemon): Promise<void> {
    if (!this.removeDaemon(killed)) return;
    await killed.daemon.kill();
    killed.clock.end();
  }

  /** Takes a daemon off the lists; false where it was off already. */
  private removeDaemon({ id }: RunningDaemon): boolean {
    const index = this.daemons.findIndex(each => each.id === id);
    if (index === -1) return false;
    this.daemons.splice(index, 1);
    this.cloud.removeDaemon(id);
    return true;
  }

  private enginesIn(dataCentre: DataCentre): readonly RunningEngine[] {
    return this.engines.filter(each => each.dataCentre === dataCentre);
  }

  private daemonsIn(dataCentre: DataCentre): readonly RunningDaemon[] {
    return this.daemons.filter(each => each.dataCentre === dataCentre);
  }

  /** Waits until every daemon knows that every other one is alive. */
  private async untilIntroduced(): Promise<void> {
    const others = this.daemons.length - 1;
    const isIntroduced = () =>
      this.daemons.every(
        each => each.daemon.wiring.membership.live().length >= others,
      );
    while (!isIntroduced()) {
      await this.clock.waitUntil(this.clock.nowMs() + POLL_INTERVAL_MS);
    }
  }

  private async startPlatform(): Promise<void> {
    const keyValueServer = new KeyValueServer(
      ANY_PORT,
      this.options.wrapKeyValue(this.store),
    );
    this.keyValueAddress = await keyValueServer.listen();
    const cloudServer = new CloudServer(ANY_PORT, this.cloud);
    this.cloudAddress = await cloudServer.listen();
    this.servers.push(keyValueServer, cloudServer);
    await this.store.put({
      key: RULES_KEY,
      value: createRulesEntry(this.options.rules, 1).value,
      expectedVersion: 0,
      deadlineAtMs: this.clock.nowMs(),
    });
  }

  private async addService(): Promise<void> {
    const server = new ServiceServer(ANY_PORT, this.service);
    const address = await server.listen();
    this.serviceAddress = address;
    this.servers.push(server);
    this.addToCloud({
      address,
      instanceId: 'service-1',
      dataCentre: this.dataCentreAt(0),
      kind: EndpointKind.Service,
      group: 'ledger',
      version: 'v1',
    });
  }

  private addToCloud(endpoint: Omit<Endpoint, 'stage'>): void {
    this.addInstance(endpoint.instanceId, endpoint.dataCentre);
    this.cloud.addEndpoint({ ...endpoint, stage: EndpointStage.Ready });
  }

  private addInstance(id: string, dataCentre: DataCentre): void {
    this.cloud.addInstance({
      id,
      machineClass: 'standard',
      dataCentre,
      billing: InstanceBilling.Reclaimable,
      state: InstanceState.Running,
    });
  }

  private dataCentreAt(index: number): DataCentre {
    const { dataCentres } = this.options;
    return dataCentres[index % dataCentres.length] ?? 'north-1';
  }
}
