import { MemoryKeyValue } from '@skylarkreach/core/fakes';
import type {
  Address,
  Clock,
  DataCentre,
  Endpoint,
  KeyValueStore,
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
/** Age at which the cloud's published fleet listing is replaced. */
const LISTING_LAG_MS = 1_000;

export interface LocalDeploymentOptions {
  /** Number of daemons to start. */
  readonly daemons: number;
  /** Number of engines to start. */
  readonly engines: number;
  /** Data centres that daemons and engines are assigned to round-robin. */
  readonly dataCentres: readonly DataCentre[];
  readonly logLevel: LogLevel;
  readonly rules: string;
  readonly engineOptions: Partial<ModelEngineOptions>;
  readonly serviceOptions: Partial<PlainServiceOptions>;
  /** The `services` section of the daemons' settings: how plain services handle idempotency keys. */
  readonly services: Settings['services'];
  /** Caller tokens of additional workspaces, keyed by workspace. */
  readonly workspaceTokens: Readonly<Record<string, string>>;
  /** Wraps the key-value store, for example to inject faults. */
  readonly wrapKeyValue: (store: KeyValueStore) => KeyValueStore;
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

/** An endpoint on an instance with an announced reclaim. */
export interface LeavingEndpoint {
  readonly address: Address;
  readonly announcedAtMs: number;
}

/** Deployment in a single process: daemons, model engines, a plain service and stand-ins for the platform's services. */
export class LocalDeployment {
  readonly clock: Clock = new SystemClock();
  readonly store: MemoryKeyValue;
  readonly cloud: MemoryCloud;
  readonly service: PlainService;
  /** All engines ever started, including killed ones. */
  readonly engines: RunningEngine[] = [];
  /** The running daemons. */
  readonly daemons: RunningDaemon[] = [];
  /** Endpoints whose reclaim was announced, in order of announcement. */
  readonly leavingEndpoints: LeavingEndpoint[] = [];
  serviceAddress: Address = ANY_PORT;
  private readonly options: LocalDeploymentOptions;
  private readonly servers: { destroy(): void }[] = [];
  private keyValueAddress: Address = ANY_PORT;
  private cloudAddress: Address = ANY_PORT;
  private startedDaemonCount = 0;
  private readonly killedEngines = new Set<RunningEngine>();

  constructor(options: Partial<LocalDeploymentOptions> = {}) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
    this.service = new PlainService(this.options.serviceOptions);
    this.store = new MemoryKeyValue(this.clock);
    this.cloud = new MemoryCloud(this.clock, LISTING_LAG_MS);
  }

  /** Starts all servers on free ports and waits until the daemons have discovered each other. */
  async start(): Promise<void> {
    await this.startPlatform();
    for (let index = 0; index < this.options.engines; index += 1) {
      await this.addEngine(this.dataCentreAt(index));
    }
    await this.startService();
    for (let index = 0; index < this.options.daemons; index += 1) {
      await this.addDaemon(this.dataCentreAt(index));
    }
    await this.waitForFullMembership();
  }

  /** Stops the daemons gracefully, then closes the engines and the other servers. */
  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(running => running.daemon.stop()));
    for (const engine of this.engines) engine.server.destroy();
    for (const server of this.servers) server.destroy();
    this.store.close();
  }

  /** Starts a daemon on an instance of its own and registers both with the cloud. */
  async addDaemon(dataCentre: DataCentre): Promise<RunningDaemon> {
    this.startedDaemonCount += 1;
    const id = `daemon-${this.startedDaemonCount}`;
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
    this.registerInstance(instanceId, dataCentre);
    this.cloud.addDaemon(daemon.wiring.identity);
    const running = { id, instanceId, dataCentre, addresses, daemon, clock };
    this.daemons.push(running);
    return running;
  }

  /** Starts an engine and registers it with the cloud; `options` override those of the deployment. */
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
    this.registerEndpoint({
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

  /** Announces that all instances of a data centre will be reclaimed at `reclaimAtMs`. */
  announceDataCentreReclaim(dataCentre: DataCentre, reclaimAtMs: number): void {
    const announcedAtMs = this.clock.nowMs();
    for (const { address, instanceId } of this.enginesIn(dataCentre)) {
      this.leavingEndpoints.push({ address, announcedAtMs });
      this.cloud.announceReclaim(instanceId, reclaimAtMs);
    }
    for (const { instanceId } of this.daemonsIn(dataCentre)) {
      this.cloud.announceReclaim(instanceId, reclaimAtMs);
    }
  }

  /** Kills all engines and daemons of a data centre. */
  async killDataCentre(dataCentre: DataCentre): Promise<void> {
    for (const engine of this.enginesIn(dataCentre)) this.killEngine(engine);
    const daemons = this.daemonsIn(dataCentre);
    await Promise.all(daemons.map(daemon => this.killDaemon(daemon)));
  }

  /** Announces the reclaim of a data centre, waits for its time and kills the data centre. */
  async reclaimDataCentre(
    dataCentre: DataCentre,
    reclaimAtMs: number,
  ): Promise<void> {
    this.announceDataCentreReclaim(dataCentre, reclaimAtMs);
    await this.clock.waitUntil(reclaimAtMs);
    await this.killDataCentre(dataCentre);
  }

  /** Returns the base URLs of the daemons' caller servers. */
  callerUrls(): readonly string[] {
    return this.daemons.map(({ addresses }) => `http://${addresses.callers}`);
  }

  /** Kills an engine, breaks its streams and removes its endpoint from the cloud. */
  killEngine(engine: RunningEngine): void {
    this.killedEngines.add(engine);
    engine.server.destroy();
    this.cloud.removeEndpoint(engine.address);
  }

  /** Returns the running engines. */
  runningEngines(): readonly RunningEngine[] {
    return this.engines.filter(engine => !this.killedEngines.has(engine));
  }

  /** Stops a daemon gracefully; does nothing if it no longer runs. */
  async stopDaemon(running: RunningDaemon): Promise<void> {
    if (!this.deregisterDaemon(running)) return;
    await running.daemon.stop();
  }

  /** Stops a daemon without cleanup, as a killed process; does nothing if it no longer runs. */
  async killDaemon(running: RunningDaemon): Promise<void> {
    if (!this.deregisterDaemon(running)) return;
    await running.daemon.kill();
    running.clock.kill();
  }

  /** Removes a daemon from the running daemons and the cloud; returns false if it was already removed. */
  private deregisterDaemon({ id }: RunningDaemon): boolean {
    const index = this.daemons.findIndex(daemon => daemon.id === id);
    if (index === -1) return false;
    this.daemons.splice(index, 1);
    this.cloud.removeDaemon(id);
    return true;
  }

  private enginesIn(dataCentre: DataCentre): readonly RunningEngine[] {
    return this.engines.filter(engine => engine.dataCentre === dataCentre);
  }

  private daemonsIn(dataCentre: DataCentre): readonly RunningDaemon[] {
    return this.daemons.filter(daemon => daemon.dataCentre === dataCentre);
  }

  /** Waits until each daemon's membership view contains every other daemon. */
  private async waitForFullMembership(): Promise<void> {
    const peerCount = this.daemons.length - 1;
    const isMembershipComplete = () =>
      this.daemons.every(
        running => running.daemon.wiring.membership.live().length >= peerCount,
      );
    while (!isMembershipComplete()) {
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

  private async startService(): Promise<void> {
    const server = new ServiceServer(ANY_PORT, this.service);
    const address = await server.listen();
    this.serviceAddress = address;
    this.servers.push(server);
    this.registerEndpoint({
      address,
      instanceId: 'service-1',
      dataCentre: this.dataCentreAt(0),
      kind: EndpointKind.Service,
      group: 'ledger',
      version: 'v1',
    });
  }

  private registerEndpoint(endpoint: Omit<Endpoint, 'stage'>): void {
    this.registerInstance(endpoint.instanceId, endpoint.dataCentre);
    this.cloud.addEndpoint({ ...endpoint, stage: EndpointStage.Ready });
  }

  private registerInstance(id: string, dataCentre: DataCentre): void {
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
