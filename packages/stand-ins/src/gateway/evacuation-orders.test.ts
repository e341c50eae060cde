import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { Evacuations } from '@skylarkreach/core/evacuations';
import { ReplicatedValueStore } from '@skylarkreach/core/membership';
import type {
  JsonHttpClient,
  JsonRequest,
  JsonResponse,
} from '@skylarkreach/core/ports';
import {
  ManualClock,
  noopLog,
  noopMetrics,
  NotSentError,
} from '@skylarkreach/core/ports';
import { EvacuationReplicator } from '@skylarkreach/daemon';
import { StoreClient, StoreOperatorSource } from '@skylarkreach/platform';
import { StoreState } from '@skylarkreach/platform/stand-ins';

const SEED = 1;
const RUNS = 400;
const DAEMONS = 3;
const DATA_CENTRES = ['north-1', 'north-2', 'south-1'];
const KEY = 'evacuations';
/** Small, so that the operators' keys take several pages. */
const PAGE_SIZE = 2;
const ERA_SIZE = 1_000_000_000_000;
const DEADLINE_AT_MS = 1_000;

type Patch = NonNullable<ReturnType<ReplicatedValueStore['fullPatch']>>;

/** Store without a network, whose operators order and end evacuations. */
class FakeStore implements JsonHttpClient {
  readonly state = new StoreState();
  isDown = false;
  /** Called once, before the second page of a read. */
  beforeNextPage: (() => void) | undefined;
  /** Evacuated data centres by the revision from which on they were evacuated. */
  private readonly history: { revision: number; names: string }[] = [];
  private restore = this.state.copy();

  constructor() {
    this.state.put('op/config', '{}');
    this.state.put('op/rollout/ledger', '{}');
    this.record();
  }

  order(dataCentre: string): void {
    this.state.put(`op/evacuate/${dataCentre}`, '{}');
    this.record();
  }

  end(dataCentre: string): void {
    this.state.delete(`op/evacuate/${dataCentre}`);
    this.record();
  }

  save(): void {
    this.restore = this.state.copy();
  }

  /** Restores the store from the copy that was saved last. */
  restoreSaved(): void {
    this.restore();
    this.record();
  }

  /** Returns the evacuated data centres at a revision that a daemon holds. */
  namesAt(revision: number): string {
    const before = this.history.filter(each => each.revision <= revision);
    return before.at(-1)?.names ?? '';
  }

  exchange({ path }: JsonRequest): Promise<JsonResponse> {
    if (this.isDown) return Promise.reject(new NotSentError('down'));
    const { pathname, searchParams } = new URL(path, 'http://store');
    const prefix = searchParams.get('PathPrefix') ?? '';
    const after = searchParams.get('After') ?? '';
    if (pathname.endsWith('kv-range'))
      return Promise.resolve(this.readPage(prefix, after));
    const events = this.state.eventsAfter(prefix, Number(after));
    return Promise.resolve(
      events === undefined
        ? this.respond(410, {})
        : this.respond(200, { events, At: this.state.revision }),
    );
  }

  private readPage(prefix: string, after: string): JsonResponse {
    if (after !== '') {
      this.beforeNextPage?.();
      this.beforeNextPage = undefined;
    }
    const items = this.state
      .listPrefix(prefix)
      .filter(({ Key: key }) => key > after);
    return this.respond(200, {
      Items: items.slice(0, PAGE_SIZE),
      HasMore: items.length > PAGE_SIZE,
      At: this.state.revision,
    });
  }

  private respond(status: number, body: unknown): JsonResponse {
    const headers = { 'store-era': String(this.state.era) };
    return { status, headers, body };
  }

  private record(): void {
    const revision = this.state.era * ERA_SIZE + this.state.revision;
    const names = this.state
      .listPrefix('op/evacuate/')
      .map(({ Key: key }) => key.slice('op/evacuate/'.length))
      .join();
    this.history.push({ revision, names });
  }
}

/** The parts of a daemon that carry evacuations. */
class FakeDaemon {
  readonly evacuations = new Evacuations();
  readonly values = new ReplicatedValueStore();
  private readonly source: StoreOperatorSource;
  private readonly replicator: EvacuationReplicator;
  /** Revision after which the next watch begins; undefined if the whole state has to be read. */
  private watched: number | undefined;

  constructor(store: FakeStore, onPublish: (patch: Patch) => void) {
    const client = new StoreClient(store, new ManualClock(0), 'store');
    this.source = new StoreOperatorSource(client);
    this.replicator = new EvacuationReplicator({
      evacuations: this.evacuations,
      log: noopLog,
      metrics: noopMetrics,
      sharedVersion: () => this.values.version(KEY),
      publish: state => {
        const value = JSON.stringify(state);
        this.values.apply({ key: KEY, version: state.revision, value });
        const patch = this.values.fullPatch(KEY);
        if (patch !== undefined) onPublish(patch);
      },
    });
    this.values.onValue(({ value }) => {
      this.replicator.handleShared(value);
    });
  }

  /** Reads the whole state or, after that, its changes, as `OperatorWatch` does. */
  async step(): Promise<void> {
    try {
      const state =
        this.watched === undefined
          ? await this.source.readNow(DEADLINE_AT_MS)
          : await this.source.watch(this.watched, DEADLINE_AT_MS);
      this.watched = Math.max(this.watched ?? 0, state.revision);
      this.replicator.handleRead(state.evacuations);
    } catch {
      this.watched = undefined;
    }
  }

  receive(patch: Patch | undefined): void {
    if (patch !== undefined) this.values.receivePatch(patch);
  }
}

/** Store, daemons, and what these have published to one another. */
class World {
  readonly store = new FakeStore();
  private readonly patches: Patch[] = [];
  private readonly daemons = Array.from({ length: DAEMONS }, () =>
    this.createDaemon(),
  );

  daemon(index: number): FakeDaemon {
    const daemon = this.daemons[index];
    assert.ok(daemon !== undefined);
    return daemon;
  }

  /** Replaces a daemon by one that knows nothing. */
  restart(index: number): void {
    this.daemons[index] = this.createDaemon();
  }

  /** Delivers something that was published at any time before. */
  deliver(index: number, which: number): void {
    this.daemon(index).receive(this.patches[which % this.patches.length]);
  }

  exchange(from: number, to: number): void {
    this.daemon(to).receive(this.daemon(from).values.fullPatch(KEY));
  }

  assertTrue(): void {
    for (const { evacuations } of this.daemons) {
      const expected = this.store.namesAt(evacuations.revision);
      const held = evacuations.revision === 0 ? '' : expected;
      assert.equal(evacuations.dataCentres.join(), held);
    }
  }

  revisions(): readonly number[] {
    return this.daemons.map(each => each.evacuations.revision);
  }

  private createDaemon(): FakeDaemon {
    return new FakeDaemon(this.store, patch => this.patches.push(patch));
  }
}

type Act = (world: World) => Promise<void> | void;

const dataCentre = fc.constantFrom(...DATA_CENTRES);
const daemon = fc.nat(DAEMONS - 1);
const act: fc.Arbitrary<Act> = fc.oneof(
  dataCentre.map((name): Act => ({ store }) => {
    store.order(name);
  }),
  dataCentre.map((name): Act => ({ store }) => {
    store.end(name);
  }),
  dataCentre.map((name): Act => ({ store }) => {
    store.beforeNextPage = () => {
      store.order(name);
    };
  }),
  daemon.map(
    (index): Act =>
      world =>
        world.daemon(index).step(),
  ),
  fc.tuple(daemon, fc.nat()).map(([index, which]): Act => world => {
    world.deliver(index, which);
  }),
  fc.tuple(daemon, daemon).map(([from, to]): Act => world => {
    world.exchange(from, to);
  }),
  daemon.map((index): Act => world => {
    world.restart(index);
  }),
  fc.constantFrom<Act>(
    ({ store }) => {
      store.isDown = !store.isDown;
    },
    ({ store }) => {
      store.state.compactHistory();
    },
    ({ store }) => {
      store.state.put('servers/e1', '{}');
    },
    ({ store }) => {
      store.save();
    },
    ({ store }) => {
      store.restoreSaved();
    },
  ),
);

describe('evacuations in any order of reads, watches, gossip and restarts', () => {
  // A daemon that mixed changes into another state than that at their revision would send to an evacuated data centre, or spare one for good.
  it('are at each daemon those that the store held at the revision that the daemon holds', async () => {
    const property = fc.asyncProperty(
      fc.array(act, { minLength: 5, maxLength: 60 }),
      async acts => {
        const world = new World();
        for (const each of acts) {
          await each(world);
          world.assertTrue();
        }
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('never go back to an older revision while a daemon runs', async () => {
    const property = fc.asyncProperty(
      fc.array(act, { minLength: 5, maxLength: 60 }),
      async acts => {
        const world = new World();
        for (const each of acts) {
          const daemons = [0, 1, 2].map(index => world.daemon(index));
          const before = world.revisions();
          await each(world);
          for (const [index, revision] of world.revisions().entries())
            if (world.daemon(index) === daemons[index])
              assert.ok(revision >= (before[index] ?? 0));
        }
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  // A reader that has found none and knows no shared value publishes once it gets an older one.
  it('are known to all daemons once one has read them and exchanged its value with them', async () => {
    const property = fc.asyncProperty(
      fc.array(act, { maxLength: 60 }),
      daemon,
      async (acts, reader) => {
        const world = new World();
        for (const each of acts) await each(world);
        world.store.isDown = false;
        world.store.beforeNextPage = undefined;
        // A step after a failed one reads the whole state.
        for (let step = 0; step < 2; step += 1)
          await world.daemon(reader).step();
        for (let index = 0; index < DAEMONS; index += 1) {
          world.exchange(index, reader);
          world.exchange(reader, index);
          const { dataCentres } = world.daemon(index).evacuations;
          assert.equal(dataCentres.join(), world.store.namesAt(Infinity));
        }
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  });
});
