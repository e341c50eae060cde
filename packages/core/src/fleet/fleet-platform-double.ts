import { MemoryKeyValue } from '../fakes/index.js';
import { LeaseKeeper } from '../leases/index.js';
import type {
  Cloud,
  EngineOrder,
  Instance,
  KeyValue,
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
  OrderOutcome,
  SeededRandom,
  silentLog,
  silentMetrics,
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
const MAX_HELD_MS = 16_000;
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

/** Platform whose calls are held, lost or refused at random until it is calm. */
export class TestPlatform implements OrderEngine {
  readonly clock = new ManualClock(START_AT_MS);
  readonly store = new MemoryKeyValue(this.clock);
  readonly instances = new Map<string, Instance>();
  readonly orders: (EngineOrder & { address: string })[] = [];
  /** Orders that took effect under a number below that of the lease in force. */
  staleOrders = 0;
  isCalm = false;
  /** Time that every order spends on the wire. */
  orderHeldForMs = 0;
  putHeldForMs = 0;
  losesStartAnswers = false;
  /** Refuses one start, and holds the writes that follow for a time. */
  refusesOneStart = false;
  private fencingNumber = 0;
  private readonly random: Random;

  readonly cloud: Cloud = {
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
    start: request => this.send(() => this.start(request)),
    stop: () => Promise.resolve(),
  };

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
  }

  manager(holder: string): FleetManager {
    const { clock } = this;
    const keyValue = this.disturb(this.store);
    return new FleetManager(
      {
        clock,
        cloud: this.cloud,
        engine: this,
        keyValue,
        keeper: new LeaseKeeper(keyValue, clock, {
          name: 'fleet',
          holder,
          grantMs: GRANT_MS,
          marginMs: MARGIN_MS,
        }),
        planner: new SpreadFleetPlanner(POLICY),
        demand: { demandTokensPerSecond: () => Promise.resolve(0) },
        loads: { requiredLoads: () => [ROLE] },
        log: silentLog,
        metrics: silentMetrics,
      },
      {
        policy: POLICY,
        grantMs: GRANT_MS,
        marginMs: MARGIN_MS,
        callTimeoutMs: 2_000,
        storeBytesPerSecond: 1e9,
        orders: {
          fleet: 'test',
          fencingCheck: FencingCheck.Ignored,
          effectTimeoutMs: 600_000,
          verifyIntervalMs: 60_000,
        },
      },
    );
  }

  order(address: string, order: EngineOrder): Promise<OrderOutcome> {
    const arrivesAtMs = this.clock.nowMs() + this.orderHeldForMs;
    return this.send(async () => {
      await this.clock.waitUntil(arrivesAtMs);
      if (this.clock.nowMs() > order.deadlineAtMs) throw lost();
      if (order.fencingNumber < this.fencingNumber) this.staleOrders += 1;
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

  private start(request: StartRequest) {
    const { billing, clientToken, dataCentre, machineClass } = request;
    const isNew = !this.instances.has(clientToken);
    if (this.clock.nowMs() > request.deadlineAtMs) throw lost();
    if (this.refusesOneStart) {
      this.refusesOneStart = false;
      this.putHeldForMs = GRANT_MS + 2_500;
      return { outcome: StartOutcome.Refused };
    }
    if (isNew && this.happens(0.2)) {
      return { outcome: StartOutcome.Refused };
    }
    const state = InstanceState.Running;
    const place = { machineClass, dataCentre, billing };
    this.instances.set(clientToken, { ...place, id: clientToken, state });
    if (this.losesStartAnswers) throw lost();
    return { outcome: StartOutcome.Started, instanceId: clientToken };
  }

  private async send<T>(call: () => T | Promise<T>): Promise<T> {
    if (this.happens(0.15)) {
      const heldForMs = this.random.nextInteger(MAX_HELD_MS);
      await this.clock.waitUntil(this.clock.nowMs() + heldForMs);
    }
    if (this.happens(0.05)) throw lost();
    if (this.happens(0.1)) {
      this.deliverLater(call);
      throw lost();
    }
    const answer = await call();
    if (this.happens(0.1)) throw lost();
    return answer;
  }

  /** The caller has given up; the call is still on its way. */
  private deliverLater<T>(call: () => T | Promise<T>): void {
    const atMs = this.clock.nowMs() + this.random.nextInteger(MAX_HELD_MS);
    void this.clock
      .waitUntil(atMs)
      .then(call)
      .catch(() => undefined);
  }

  private happens(chance: number): boolean {
    return !this.isCalm && this.random.nextFloat() < chance;
  }

  private disturb(inner: KeyValue): KeyValue {
    return {
      get: (...args) => this.send(() => inner.get(...args)),
      list: (...args) => this.send(() => inner.list(...args)),
      put: async request => {
        await this.clock.waitUntil(this.clock.nowMs() + this.putHeldForMs);
        return this.send(() => inner.put(request));
      },
      watch: request => this.send(() => inner.watch(request)),
      releaseLease: (...args) => this.send(() => inner.releaseLease(...args)),
      acquireLease: request =>
        this.send(async () => {
          if (this.clock.nowMs() > request.deadlineAtMs) throw lost();
          const lease = await inner.acquireLease(request);
          const fencingNumber = lease?.fencingNumber ?? 0;
          this.fencingNumber = Math.max(this.fencingNumber, fencingNumber);
          return lease;
        }),
    };
  }
}

const ROLE = {
  kind: EngineOrderKind.ChangeRole,
  target: 'decode',
  weightBytes: 0,
  neededTokensPerSecond: 1,
};

function lost(): AnswerLostError {
  return new AnswerLostError('The answer was lost.');
}
