import { setTimeout as delay } from 'node:timers/promises';

import type { PlatformAddresses } from '@skylarkreach/platform/stand-ins';
import {
  CloudServer,
  EndpointServer,
  StoreServer,
} from '@skylarkreach/platform/stand-ins';

/** Events of a whole stream. */
export const STREAM_EVENTS = 10;
const EVENT_GAP_MS = 40;
/** Time for which a leaving endpoint goes on serving. */
const LEAVING_MS = 3_000;
const ROLLOUT_SECONDS = 12;
const STATUS_POLL_MS = 20;

/** Stand-ins for the platform and the endpoints, and the planned work on them. */
export class UpgradePlatform {
  readonly store = new StoreServer();
  readonly cloud = new CloudServer();
  readonly endpoints: EndpointServer[] = [];
  /** Times at which endpoints began to leave, by id. */
  readonly drainedAtMs = new Map<string, number>();
  /** Rollout states that the daemons wrote, in order. */
  readonly rolloutStates: string[] = [];
  private endpointCount = 0;

  async listen(): Promise<PlatformAddresses> {
    const store = await this.store.listen();
    const cloud = await this.cloud.listen();
    return { store, cloud };
  }

  async addEndpoint(group: string, version: string): Promise<void> {
    this.endpointCount += 1;
    const endpoint = new EndpointServer({
      id: `${group}-${this.endpointCount}`,
      events: STREAM_EVENTS,
      eventGapMs: EVENT_GAP_MS,
    });
    const address = await endpoint.listen();
    this.store.register(endpoint.id, group, address, { Version: version });
    this.endpoints.push(endpoint);
  }

  /** Replaces an endpoint of the group, which says that it is leaving and is gone some seconds later. */
  async replaceEndpoint(group: string, version: string): Promise<void> {
    const endpoint = this.usable(group)[0];
    if (endpoint === undefined) throw new Error(`${group} has no endpoint.`);
    await this.addEndpoint(group, version);
    const { address, id } = endpoint;
    this.drainedAtMs.set(id, performance.now());
    this.store.register(id, group, address, {
      Version: version,
      State: 'draining',
    });
    await delay(LEAVING_MS);
    this.store.state.delete(`servers/${id}`);
  }

  /** Orders a rollout, adds the endpoints of the new version, and resolves at its end; the old ones count as gone then. */
  async rollOut(group: string, version: string): Promise<void> {
    const old = this.usable(group);
    await Promise.all(old.map(() => this.addEndpoint(group, version)));
    this.store.orderRollout(group, version, ROLLOUT_SECONDS);
    const deadlineAtMs = performance.now() + ROLLOUT_SECONDS * 1_000;
    while (!this.hasRolloutEnded(group) && performance.now() < deadlineAtMs)
      await delay(STATUS_POLL_MS);
    for (const { id } of old) {
      this.drainedAtMs.set(id, performance.now());
      this.store.state.delete(`servers/${id}`);
    }
  }

  destroy(): void {
    for (const endpoint of this.endpoints) endpoint.destroy();
    this.store.destroy();
    this.cloud.destroy();
  }

  private usable(group: string): EndpointServer[] {
    return this.endpoints.filter(
      ({ id }) => id.startsWith(`${group}-`) && !this.drainedAtMs.has(id),
    );
  }

  private hasRolloutEnded(group: string): boolean {
    const state = this.store.rolloutState(group);
    if (state === undefined) return false;
    if (this.rolloutStates.at(-1) !== state) this.rolloutStates.push(state);
    return state !== 'running';
  }
}
