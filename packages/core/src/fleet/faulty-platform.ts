import { MemoryKeyValue } from '../fakes/index.js';
import { LeaseKeeper } from '../leases/index.js';
import type {
  CloudClient,
  EngineOrder,
  Instance,
  KeyValueStore,
  Random,
  StartRequest,
} from '../ports/index.js';
import {
  AnswerLostError,
  EndpointKind,
  EndpointStage,
  EngineOrderKind,
  InstanceBilling,
  InstanceState,
  ManualClock,
  noopLog,
  noopMetrics,
  OrderOutcome,
  SeededRandom,
  StartOutcome,
} from '../ports/index.js';
import { FleetManager } from './fleet-manager.js';
import { SpreadFleetPlanner } from './fleet-planner.js';
import type { FleetPolicy } from './fleet-policy.js';
import type { OrderEngine } from './order-runner.js';
import { FencingCheck } from './order-runner.js';

export const START_AT_MS = 1_000_000;
export const GRANT_MS = 10_000;
const MARGIN_MS = 1_000;
const MAX_DELAY_MS = 16_000;
export const DATA_CENTRES = ['a', 'b', 'c'];

export const POLICY: FleetPolicy = {
  name: 'test',
  group: 'model',
  classes: [{ name: 'small', capacityTokensPerSecond: 100 }],
  dataCentres: DATA_CENTRES,
  promisedTokensPerSecond: 200,
  headroomFactor: 1,
  peakHoldMs: 60_000,
  settleDelayMs: 600_000,
  drainMs: 60_000,
  readyTimeoutMs: 3_600_000,
  refusalBackoffMs: 2_000,
  maxRefusalBackoffMs: 8_000,
  reclaimPauseMs: 60_000,
};

/** In-memory platform that delays, loses or refuses calls at random while `isFaultFree` is false. */
export class FaultyPlatform implements OrderEngine {
  readonly clock = new ManualClock(START_AT_MS);
  readonly store = new MemoryKeyValue(this.clock);
  readonly instances = new Map<string, Instance>();
  readonly orders: (EngineOrder & { address: string })[] = [];
  /** Number of orders that took effect with a fencing number below that of the current lease. */
  staleOrderCount = 0;
  isFaultFree = false;
  /** Network delay of every order. */
  orderDelayMs = 0;
  putDelayMs = 0;
  losesStartResponses = false;
  /** Refuses the next start, and delays all later writes until `putDelayMs` is reset. */
  refusesNextStart = false;
  private highestFencingNumber = 0;
  private readonly random: Random;

  readonly cloud: CloudClient = {
    list: () =>
      Promise.resolve({
        asOfMs: this.clock.nowMs(),
        instances: [...this.instances.values()],
        endpoints: this.endpoints(),
      }),
    prices: () =>
      Promise.resolve(
        DATA_CENTRES.map(dataCentre => ({
          machineClass: 'small',
          dataCentre,
          billing: InstanceBilling.Reclaimable,
          pricePerHour: 1,
        })),
      ),
    reclaimNotices: () => Promise.resolve([]),
    start: request => this.callWithFaults(() => this.startInstance(request)),
    stop: () => Promise.resolve(),
  };

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  createManager(holder: string): FleetManager {
    const { clock } = this;
    const keyValue = this.withFaults(this.store);
    return new FleetManager(
      {
        clock,
        cloud: this.cloud,
        engine: this,
        keyValue,
        leaseKeeper: new LeaseKeeper(keyValue, clock, {
          name: 'fleet',
          holder,
          grantMs: GRANT_MS,
          marginMs: MARGIN_MS,
        }),
        planner: new SpreadFleetPlanner(POLICY),
        demand: { demandTokensPerSecond: () => Promise.resolve(0) },
        requirements: { endpointRequirements: () => [ROLE_REQUIREMENT] },
        log: noopLog,
        metrics: noopMetrics,
      },
      {
        policy: POLICY,
        grantMs: GRANT_MS,
        marginMs: MARGIN_MS,
        callTimeoutMs: 2_000,
        storeBytesPerSecond: 1e9,
        orderRunnerOptions: {
          fleet: 'test',
          fencingCheck: FencingCheck.Ignored,
          effectTimeoutMs: 600_000,
          verifyIntervalMs: 60_000,
        },
      },
    );
  }

  order(address: string, order: EngineOrder): Promise<OrderOutcome> {
    const arrivesAtMs = this.clock.nowMs() + this.orderDelayMs;
    return this.callWithFaults(async () => {
      await this.clock.waitUntil(arrivesAtMs);
      if (this.clock.nowMs() > order.deadlineAtMs) throw answerLost();
      if (order.fencingNumber < this.highestFencingNumber)
        this.staleOrderCount += 1;
      this.orders.push({ ...order, address });
      return OrderOutcome.Accepted;
    });
  }

  inventory(address: string) {
    const orders = this.orders.filter(order => order.address === address);
    return Promise.resolve({
      models: [],
      adapters: [],
      versions: [],
      role: orders.at(-1)?.target ?? 'none',
      orderIds: orders.map(order => order.orderId),
    });
  }

  private endpoints() {
    return [...this.instances.values()].map(({ dataCentre, id }) => ({
      address: id,
      kind: EndpointKind.Model,
      group: 'model',
      version: 'v1',
      dataCentre,
      instanceId: id,
      stage: EndpointStage.Ready,
    }));
  }

  private startInstance(request: StartRequest) {
    const { billing, clientToken, dataCentre, machineClass } = request;
    const isNew = !this.instances.has(clientToken);
    if (this.clock.nowMs() > request.deadlineAtMs) throw answerLost();
    if (this.refusesNextStart) {
      this.refusesNextStart = false;
      this.putDelayMs = GRANT_MS + 2_500;
      return { outcome: StartOutcome.Refused };
    }
    if (isNew && this.injectsFault(0.2)) {
      return { outcome: StartOutcome.Refused };
    }
    const state = InstanceState.Running;
    const pool = { machineClass, dataCentre, billing };
    this.instances.set(clientToken, { ...pool, id: clientToken, state });
    if (this.losesStartResponses) throw answerLost();
    return { outcome: StartOutcome.Started, instanceId: clientToken };
  }

  private async callWithFaults<T>(call: () => T | Promise<T>): Promise<T> {
    if (this.injectsFault(0.15)) {
      const delayMs = this.random.nextInteger(MAX_DELAY_MS);
      await this.clock.waitUntil(this.clock.nowMs() + delayMs);
    }
    if (this.injectsFault(0.05)) throw answerLost();
    if (this.injectsFault(0.1)) {
      this.deliverLate(call);
      throw answerLost();
    }
    const response = await call();
    if (this.injectsFault(0.1)) throw answerLost();
    return response;
  }

  /** Executes the call at a later time, after the caller has received an error. */
  private deliverLate<T>(call: () => T | Promise<T>): void {
    const deliverAtMs =
      this.clock.nowMs() + this.random.nextInteger(MAX_DELAY_MS);
    void this.clock
      .waitUntil(deliverAtMs)
      .then(call)
      .catch(() => undefined);
  }

  private injectsFault(probability: number): boolean {
    return !this.isFaultFree && this.random.nextFloat() < probability;
  }

  private withFaults(inner: KeyValueStore): KeyValueStore {
    return {
      get: (...args) => this.callWithFaults(() => inner.get(...args)),
      list: (...args) => this.callWithFaults(() => inner.list(...args)),
      put: async request => {
        await this.clock.waitUntil(this.clock.nowMs() + this.putDelayMs);
        return this.callWithFaults(() => inner.put(request));
      },
      watch: request => this.callWithFaults(() => inner.watch(request)),
      releaseLease: (...args) =>
        this.callWithFaults(() => inner.releaseLease(...args)),
      acquireLease: request =>
        this.callWithFaults(async () => {
          if (this.clock.nowMs() > request.deadlineAtMs) throw answerLost();
          const lease = await inner.acquireLease(request);
          const fencingNumber = lease?.fencingNumber ?? 0;
          this.highestFencingNumber = Math.max(
            this.highestFencingNumber,
            fencingNumber,
          );
          return lease;
        }),
    };
  }
}

const ROLE_REQUIREMENT = {
  kind: EngineOrderKind.ChangeRole,
  target: 'decode',
  weightBytes: 0,
  neededTokensPerSecond: 1,
};

function answerLost(): AnswerLostError {
  return new AnswerLostError('The answer was lost.');
}
