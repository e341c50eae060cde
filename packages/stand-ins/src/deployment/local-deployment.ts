import { createHash } from 'node:crypto';

import { MemoryKeyValue } from '@skylarkreach/core/fakes';
import type {
  Address,
  Clock,
  DataCentre,
  Instance,
  KeyValue,
} from '@skylarkreach/core/platform';
import {
  EndpointKind,
  EndpointStage,
  InstanceBilling,
  InstanceState,
} from '@skylarkreach/core/platform';
import { encodeRuleDocument, RULES_KEY } from '@skylarkreach/core/rules';
import type { BoundAddresses, Settings } from '@skylarkreach/daemon';
import {
  Daemon,
  LogLevel,
  settingsSchema,
  SystemClock,
} from '@skylarkreach/daemon';

import { CloudServer, MemoryCloud } from '../cloud/index.js';
import type { ModelEngineOptions } from '../engine/index.js';
import { EngineServer, ModelEngine } from '../engine/index.js';
import { KeyValueServer } from '../key-value/index.js';
import type { PlainServiceOptions } from '../service/index.js';
import { PlainService, ServiceServer } from '../service/index.js';
import { SAMPLE_RULES } from './sample-rules.js';

export const CALLER_TOKEN = 'caller-token-example';
export const OPERATOR_TOKEN = 'operator-token-example';
export const WORKSPACE = 'northside';

const PLATFORM_TOKEN = 'platform-token-example';
const PEER_SECRET = 'peer-secret-example';
const ANY_PORT = '127.0.0.1:0';
const POLL_INTERVAL_MS = 20;
const LIST_LAG_MS = 1_000;
const DATA_CENTRES: readonly DataCentre[] = ['north-1', 'north-2'];

export interface LocalDeploymentOptions {
  readonly daemons: number;
  /** Data centres that daemons and engines are spread over. */
  readonly dataCentres: readonly DataCentre[];
  readonly engines: number;
  readonly logLevel: LogLevel;
  readonly rules: string;
  readonly engineOptions: Partial<ModelEngineOptions>;
  readonly serviceOptions: Partial<PlainServiceOptions>;
  /** Plain services that act on keys, as the daemons' settings list them. */
  readonly services: Settings['services'];
  /** Wraps the key-value store, to inject faults. */
  readonly wrapKeyValue: (store: KeyValue) => KeyValue;
  /** Further workspaces by name, with their tokens. */
  readonly workspaceTokens: Readonly<Record<string, string>>;
}

const DEFAULT_OPTIONS: LocalDeploymentOptions = {
  daemons: 3,
  dataCentres: DATA_CENTRES,
  engines: 3,
  logLevel: LogLevel.Warn,
  rules: SAMPLE_RULES,
  engineOptions: {},
  serviceOptions: {},
  services: [],
  wrapKeyValue: store => store,
  workspaceTokens: {},
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
  readonly dataCentre: DataCentre;
  readonly addresses: BoundAddresses;
  readonly daemon: Daemon;
}

/** Daemons, engines, a plain service and the platform's stand-ins in one process. */
export class LocalDeployment {
  readonly clock: Clock = new SystemClock();
  readonly store: MemoryKeyValue;
  readonly cloud: MemoryCloud;
  readonly service: PlainService;
  readonly engines: RunningEngine[] = [];
  readonly daemons: RunningDaemon[] = [];
  serviceAddress: Address = ANY_PORT;
  private readonly options: LocalDeploymentOptions;
  private readonly servers: { destroy(): void }[] = [];
  private nextDaemon = 1;
  private keyValueAddress: Address = ANY_PORT;
  private cloudAddress: Address = ANY_PORT;

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
    const id = `daemon-${this.nextDaemon}`;
    this.nextDaemon += 1;
    const daemon = new Daemon(this.daemonSettings(id, dataCentre));
    const addresses = await daemon.start();
    this.cloud.addDaemon(daemon.wiring.identity);
    const running = { id, dataCentre, addresses, daemon };
    this.daemons.push(running);
    this.cloud.addInstance(instanceOf(id, dataCentre));
    return running;
  }

  /** Announces that all instances of a data centre are taken at `reclaimAtMs`. */
  announceReclaim(dataCentre: DataCentre, reclaimAtMs: number): void {
    for (const { instanceId } of this.engines.filter(inPlace(dataCentre))) {
      this.cloud.announceReclaim(instanceId, reclaimAtMs);
    }
    for (const { id } of this.daemons.filter(inPlace(dataCentre))) {
      this.cloud.announceReclaim(id, reclaimAtMs);
    }
  }

  /** Takes every engine and daemon of a data centre at once. */
  async take(dataCentre: DataCentre): Promise<void> {
    for (const { server } of this.engines.filter(inPlace(dataCentre))) {
      server.destroy();
    }
    const daemons = this.daemons.filter(inPlace(dataCentre));
    await Promise.all(daemons.map(daemon => this.killDaemon(daemon)));
  }

  /** Announces a reclaim of a data centre and carries it out. */
  async reclaim(dataCentre: DataCentre, reclaimAtMs: number): Promise<void> {
    this.announceReclaim(dataCentre, reclaimAtMs);
    await this.clock.waitUntil(reclaimAtMs);
    await this.take(dataCentre);
  }

  /** Ends a daemon at once; the others no longer know it. */
  async killDaemon(running: RunningDaemon): Promise<void> {
    this.forget(running);
    await running.daemon.kill();
  }

  /** Stops a daemon gracefully; the others no longer know it. */
  async stopDaemon(running: RunningDaemon): Promise<void> {
    this.forget(running);
    await running.daemon.stop();
  }

  /** URLs that callers reach the daemons by. */
  callerUrls(): readonly string[] {
    return this.daemons.map(({ addresses }) => `http://${addresses.callers}`);
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
    this.addToCloud(address, instanceId, dataCentre, EndpointKind.Model);
    const running = { address, instanceId, dataCentre, engine, server };
    this.engines.push(running);
    return running;
  }

  private forget(running: RunningDaemon): void {
    const index = this.daemons.indexOf(running);
    if (index >= 0) this.daemons.splice(index, 1);
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

  private dataCentreAt(index: number): DataCentre {
    const { dataCentres } = this.options;
    return dataCentres[index % dataCentres.length] ?? 'north-1';
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
      value: encodeRuleDocument({
        text: this.options.rules,
        recentEdits: [],
      }),
      expectedVersion: 0,
      deadlineAtMs: this.clock.nowMs(),
    });
  }

  private async addService(): Promise<void> {
    const server = new ServiceServer(ANY_PORT, this.service);
    const address = await server.listen();
    this.serviceAddress = address;
    this.servers.push(server);
    this.addToCloud(
      address,
      'service-1',
      this.dataCentreAt(0),
      EndpointKind.Service,
    );
  }

  private addToCloud(
    address: Address,
    instanceId: string,
    dataCentre: DataCentre,
    kind: EndpointKind,
  ): void {
    this.cloud.addInstance(instanceOf(instanceId, dataCentre));
    this.cloud.addEndpoint({
      address,
      kind,
      group: kind === EndpointKind.Model ? 'ruling-model' : 'ledger',
      version: 'v1',
      dataCentre,
      instanceId,
      stage: EndpointStage.Ready,
    });
  }

  private daemonSettings(daemonId: string, dataCentre: DataCentre): Settings {
    return settingsSchema.parse({
      identity: { daemonId, dataCentre, instanceId: daemonId },
      listen: { callers: ANY_PORT, operators: ANY_PORT, peers: ANY_PORT },
      platform: {
        keyValueAddress: this.keyValueAddress,
        cloudAddress: this.cloudAddress,
        token: PLATFORM_TOKEN,
      },
      telemetry: { logLevel: this.options.logLevel },
      credentials: {
        workspaces: Object.entries({
          [WORKSPACE]: CALLER_TOKEN,
          ...this.options.workspaceTokens,
        }).map(([workspace, token]) => ({ workspace, sha256: sha256(token) })),
        operators: [{ name: 'operator', sha256: sha256(OPERATOR_TOKEN) }],
        peerSecret: PEER_SECRET,
      },
      services: this.options.services,
    });
  }
}

function instanceOf(id: string, dataCentre: DataCentre): Instance {
  return {
    id,
    machineClass: 'standard',
    dataCentre,
    billing: InstanceBilling.Reclaimable,
    state: InstanceState.Running,
  };
}

function inPlace(dataCentre: DataCentre) {
  return (part: { readonly dataCentre: DataCentre }) =>
    part.dataCentre === dataCentre;
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
