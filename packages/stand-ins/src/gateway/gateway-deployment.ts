import type { Address } from '@skylarkreach/core/ports';
import type { GatewayAddresses, GatewaySettings } from '@skylarkreach/daemon';
import {
  Gateway,
  gatewaySettingsSchema,
  LogLevel,
  PlacementRule,
} from '@skylarkreach/daemon';
import type {
  EndpointServerOptions,
  SampleConfigurationOptions,
} from '@skylarkreach/platform/stand-ins';
import {
  CloudServer,
  EndpointServer,
  StoreServer,
} from '@skylarkreach/platform/stand-ins';

import { ANY_PORT } from '../deployment/index.js';
import { EndpointLinks } from './endpoint-links.js';

const POLL_INTERVAL_MS = 10;
const PEER_SECRET = 'a secret of the stand-ins';

/** Running gateway daemon and the addresses that it is bound to. */
export interface RunningGateway {
  readonly gateway: Gateway;
  readonly addresses: GatewayAddresses;
  /** Its network links to the endpoints. */
  readonly links: EndpointLinks;
}

/** Gateway daemons and stand-ins for the platform's store, cloud and endpoints, in one process. */
export class GatewayDeployment {
  readonly store = new StoreServer();
  readonly cloud = new CloudServer();
  readonly endpoints: EndpointServer[] = [];
  readonly gateways: RunningGateway[] = [];
  /** Rule by which gateways that are started choose endpoints. */
  placement: PlacementRule = PlacementRule.LeastLatency;
  /** Whether gateways that are started tell engines to fetch prompts from one another. */
  transfersPrompts = false;
  storeAddress = ANY_PORT;
  cloudAddress = ANY_PORT;
  /** Region of each data centre, in the settings of gateways that are started later. */
  regions: Readonly<Record<string, string>> = {};
  /** Section `queue` of the settings of daemons that are added. */
  queue: Partial<GatewaySettings['queue']> = {};
  /** Section `fleet`, likewise. */
  fleet: Partial<GatewaySettings['fleet']> = {};
  /** Section `bounds`, likewise. */
  bounds: Partial<GatewaySettings['bounds']> = {};

  /** `expose` returns the address that is registered for an endpoint's own. */
  constructor(
    private readonly expose: (
      address: Address,
      id: string,
    ) => Promise<Address> = address => Promise.resolve(address),
  ) {}

  async start(): Promise<void> {
    this.storeAddress = await this.store.listen();
    this.cloudAddress = await this.cloud.listen();
    this.writeConfiguration(1);
  }

  /** Writes the sample configuration with the given version to the store, as an operator does. */
  writeConfiguration(
    version: number,
    options?: SampleConfigurationOptions,
  ): void {
    this.store.configure(version, options);
  }

  /** Starts an endpoint and registers it with the store as an instance of a service; `entry` replaces fields of its entry. */
  async addEndpoint(
    service: string,
    id: string,
    options: Partial<EndpointServerOptions> = {},
    entry: Readonly<Record<string, unknown>> = {},
  ): Promise<EndpointServer> {
    const endpoint = new EndpointServer({ ...options, id });
    const address = await this.expose(await endpoint.listen(), id);
    this.store.register(id, service, address, entry);
    this.endpoints.push(endpoint);
    return endpoint;
  }

  /** Replaces all registered endpoints by one of a service. */
  replaceEndpoints(id: string, service: string, address: string): void {
    for (const { Key: key } of this.store.state.listPrefix('servers/')) {
      this.store.state.delete(key);
    }
    this.store.register(id, service, address);
  }

  /** Starts a gateway daemon and waits until it is ready. Daemons with another peer secret are cut off from the rest. */
  async addGateway(
    daemonId: string,
    peerSecret = PEER_SECRET,
  ): Promise<RunningGateway> {
    const links = new EndpointLinks();
    const gateway = new Gateway(this.settings(daemonId, peerSecret), {
      connectEndpoint: links.connect,
    });
    const addresses = await gateway.start();
    const running = { gateway, addresses, links };
    this.gateways.push(running);
    while (!gateway.isReady) {
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    return running;
  }

  /** Terminates a gateway daemon without draining its requests. */
  async removeGateway(running: RunningGateway): Promise<void> {
    this.gateways.splice(this.gateways.indexOf(running), 1);
    await running.gateway.terminate();
  }

  /** Terminates the daemons and stand-ins without draining requests. */
  async destroy(): Promise<void> {
    await Promise.all(this.gateways.map(each => each.gateway.terminate()));
    for (const endpoint of this.endpoints) endpoint.destroy();
    this.store.destroy();
    this.cloud.destroy();
  }

  private settings(daemonId: string, peerSecret: string): GatewaySettings {
    return gatewaySettingsSchema.parse({
      identity: {
        daemonId,
        dataCentre: 'north-1',
        isFirstStart: true,
        regions: this.regions,
      },
      listen: {
        callers: ANY_PORT,
        readiness: ANY_PORT,
        operators: ANY_PORT,
        peers: ANY_PORT,
        metrics: ANY_PORT,
      },
      platform: {
        storeAddress: this.storeAddress,
        cloudAddress: this.cloudAddress,
      },
      peerSecret,
      queue: this.queue,
      fleet: this.fleet,
      bounds: this.bounds,
      telemetry: { logLevel: LogLevel.Silent },
      routing: {
        placement: this.placement,
        transfersPrompts: this.transfersPrompts,
      },
    });
  }
}
