import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';

import { Agent, request } from 'undici';

import {
  SAMPLE_HOST,
  SAMPLE_KEY,
  sampleCall,
} from '@skylarkreach/platform/stand-ins';

import type { LinkState } from './endpoint-links.js';
import type { RunningGateway } from './gateway-deployment.js';
import { GatewayDeployment } from './gateway-deployment.js';
import { waitUntil } from './gateway-fixture.js';

/** Time after which a daemon must have found out that its links are cut, as the platform specifies. */
export const CONTACT_MS = 3_000;
export const ROUNDS = 12;
const ROUND_GAP_MS = 40;
const GATEWAYS = 4;
const DEADLINE_MS = 1_500;

/** Kinds of requests; a hot lookup is one that no endpoint has completed before. */
export enum CallKind {
  Lookup = 'lookup',
  HotLookup = 'hotLookup',
  Draft = 'draft',
  Posting = 'posting',
}

export const SERVED_KINDS: readonly CallKind[] = [
  CallKind.Lookup,
  CallKind.Draft,
  CallKind.Posting,
];

const PATHS: Readonly<Record<CallKind, string>> = {
  [CallKind.Lookup]: '/lookups/a',
  [CallKind.HotLookup]: '/lookups/hot',
  [CallKind.Draft]: '/drafts/a',
  [CallKind.Posting]: '/postings/a',
};

/** Gateways, by default four, with two plain services and two engines as endpoints, and callers that make one attempt. */
export class PartitionFixture {
  readonly deployment = new GatewayDeployment();
  readonly gateways: RunningGateway[] = [];
  readonly agent = new Agent();
  sent = 0;

  constructor(private readonly size = GATEWAYS) {}

  async start(): Promise<void> {
    await this.deployment.start();
    for (const number of [1, 2]) {
      await this.deployment.addEndpoint('ledger', `ledger-${number}`);
      await this.deployment.addEndpoint('engines', `engine-${number}`);
    }
    for (let number = 1; number <= this.size; number += 1) {
      this.gateways.push(await this.deployment.addGateway(`daemon-${number}`));
    }
    await waitUntil(() =>
      this.gateways.every(
        each => each.gateway.wiring.cluster.size === this.size,
      ),
    );
    for (const gateway of this.gateways) await this.serveAll(gateway);
  }

  async stop(): Promise<void> {
    await this.agent.destroy();
    await this.deployment.destroy();
  }

  /** Returns the gateway with an index. */
  gateway(index: number): RunningGateway {
    const gateway = this.gateways[index];
    assert.ok(gateway !== undefined);
    return gateway;
  }

  /** Sends a request of a kind to a gateway, as a caller that makes one attempt; `prefix` precedes its path. */
  async send(
    { addresses }: RunningGateway,
    kind: CallKind,
    requestId: string,
    signal?: AbortSignal,
    prefix = '',
  ) {
    const isPosting = kind === CallKind.Posting;
    const call = sampleCall(requestId, DEADLINE_MS, kind === CallKind.Draft);
    const { body, headers, statusCode } = await request(
      `http://${addresses.callers}${prefix}${PATHS[kind]}`,
      {
        method: isPosting ? 'POST' : 'GET',
        headers: { ...call.headers, host: SAMPLE_HOST, key: SAMPLE_KEY },
        body: isPosting ? '{"amount":1}' : null,
        dispatcher: this.agent,
        signal: signal ?? null,
      },
    );
    return { statusCode, headers, text: await body.text() };
  }

  /** Sends one request of each kind and returns the number that were served. */
  async serveAll(gateway: RunningGateway): Promise<number> {
    const responses = SERVED_KINDS.map(kind => {
      this.sent += 1;
      return this.send(gateway, kind, `${kind}-${this.sent}`);
    });
    const results = await Promise.allSettled(responses);
    return results.filter(
      result =>
        result.status === 'fulfilled' && result.value.statusCode === 200,
    ).length;
  }

  /** Serves rounds of requests at the gateways, and returns the number of served ones at each. */
  async serveRounds(served: readonly RunningGateway[]): Promise<number[]> {
    const counts = served.map(() => 0);
    for (let round = 0; round < ROUNDS; round += 1) {
      await Promise.all(
        served.map(async (gateway, index) => {
          counts[index] = (counts[index] ?? 0) + (await this.serveAll(gateway));
        }),
      );
      await delay(ROUND_GAP_MS);
    }
    return counts;
  }

  /** Cuts the links of the first gateways and lets requests show it until `CONTACT_MS` have passed. */
  async cut(
    count: number,
    state: LinkState,
  ): Promise<readonly RunningGateway[]> {
    const cutOff = this.gateways.slice(0, count);
    for (const { links } of cutOff) links.setState(state);
    const knownAtMs = performance.now() + CONTACT_MS;
    while (performance.now() < knownAtMs) {
      for (const gateway of cutOff) void this.serveAll(gateway);
      await delay(200);
    }
    return cutOff;
  }

  /** Returns the number of requests that all gateways have counted. */
  usage(): number {
    let total = 0;
    for (const { gateway } of this.deployment.gateways) {
      const { usageLedger } = gateway.wiring.duties;
      for (const { counts, lifetime } of usageLedger.allUsage(-Infinity)) {
        if (lifetime !== usageLedger.lifetime) continue;
        for (const count of Object.values(counts)) total += count;
      }
    }
    return total;
  }

  /** Returns the ids of the requests that endpoints ran. */
  runIds(): string[] {
    return this.deployment.endpoints.flatMap(each =>
      each.runs.map(run => run.requestId),
    );
  }
}
