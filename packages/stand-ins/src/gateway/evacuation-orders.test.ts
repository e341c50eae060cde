import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { Evacuations } from '@skylarkreach/core/evacuations';
import { ReplicatedValueStore } from '@skylarkreach/core/membership';
import type { JsonHttpClient } from '@skylarkreach/core/ports';
import {
  ManualClock,
  noopLog,
  noopMetrics,
  NotSentError,
} from '@skylarkreach/core/ports';
import { EvacuationReplicator } from '@skylarkreach/daemon';
import { StoreClient, StoreOperatorSource } from '@skylarkreach/platform';
import { StoreServer } from '@skylarkreach/platform/stand-ins';

const SEED = 1;
const RUNS = 500;
const DAEMONS = 3;
const KEY = 'evacuations';
const PREFIX = 'op/evacuate/';
const ERA_SIZE = 1_000_000_000_000;
/** The present of the clock, so that watches do not wait. */
const DEADLINE_AT_MS = 0;

type Patch = ReturnType<ReplicatedValueStore['fullPatch']>;

/** The parts of a daemon that carry evacuations. */
class FakeDaemon {
  readonly evacuations = new Evacuations();
  readonly values = new ReplicatedValueStore();
  private readonly source: StoreOperatorSource;
  private readonly replicator: EvacuationReplicator;
  private watchedRevision: number | undefined;

  constructor(http: JsonHttpClient, onPublish: (patch: Patch) => void) {
    const client = new StoreClient(http, new ManualClock(0), 'store');
    this.source = new StoreOperatorSource(client);
    this.replicator = new EvacuationReplicator({
      evacuations: this.evacuations,
      log: noopLog,
      metrics: noopMetrics,
      sharedVersion: () => this.values.version(KEY),
      publish: state => {
        const value = JSON.stringify(state);
        this.values.apply({ key: KEY, version: state.revision, value });
        onPublish(this.values.fullPatch(KEY));
      },
    });
    this.values.onValue(({ value }) => {
      this.replicator.handleShared(value);
    });
  }

  /** Reads the whole state or, after that, its changes, as `OperatorWatch` does. */
  async step(): Promise<void> {
    const after = this.watchedRevision;
    this.watchedRevision = undefined;
    const state = await (
      after === undefined
        ? this.source.readNow(DEADLINE_AT_MS)
        : this.source.watch(after, DEADLINE_AT_MS)
    ).catch(() => undefined);
    if (state === undefined) return;
    this.watchedRevision = Math.max(after ?? 0, state.revision);
    this.replicator.handleRead(state.evacuations);
  }

  receive(patch: Patch): void {
    if (patch !== undefined) this.values.receivePatch(patch);
  }
}

/** Store without a network, daemons, and what these have published. */
class World {
  readonly server = new StoreServer();
  readonly patches: Patch[] = [];
  isDown = false;
  /** Called once, before the second page of a read. */
  beforeNextPage: (() => void) | undefined;
  readonly daemons = Array.from({ length: DAEMONS }, () => this.createDaemon());
  restore = this.server.state.copy();
  private readonly history: { revision: number; names: string }[] = [];

  constructor() {
    // Only its state is used; its timer would keep the process of a failed test.
    this.server.destroy();
    this.server.pageSize = 2;
    this.server.state.put('op/config', '{}');
    this.server.state.put('op/rollout/ledger', '{}');
    this.record();
  }

  daemon(index: number): FakeDaemon {
    const daemon = this.daemons[index];
    assert.ok(daemon !== undefined);
    return daemon;
  }

  createDaemon(): FakeDaemon {
    const http: JsonHttpClient = {
      exchange: async ({ method, path }) => {
        if (this.isDown) throw new NotSentError('down');
        const url = new URL(path, 'http://store');
        if (url.pathname.endsWith('range') && url.searchParams.has('After')) {
          this.beforeNextPage?.();
          this.beforeNextPage = undefined;
        }
        const result = await this.server.dispatchCall(method, url, undefined);
        return {
          ...result,
          headers: { 'store-era': String(this.server.state.era) },
        };
      },
    };
    return new FakeDaemon(http, patch => this.patches.push(patch));
  }

  /** Changes the store, and records what is evacuated from then on. */
  change(change: (state: StoreServer['state']) => void): void {
    change(this.server.state);
    this.record();
  }

  /** Returns the data centres that were evacuated at a revision that daemons hold. */
  namesAt(revision: number): string {
    const before = this.history.filter(each => each.revision <= revision);
    return before.at(-1)?.names ?? '';
  }

  private record(): void {
    const { era, revision } = this.server.state;
    const names = this.server.state
      .listPrefix(PREFIX)
      .map(({ Key: key }) => key.slice(PREFIX.length));
    this.history.push({
      revision: era * ERA_SIZE + revision,
      names: names.join(),
    });
  }
}

type Act = (world: World) => Promise<void> | void;

const key = fc
  .constantFrom('north-1', 'north-2', 'south-1')
  .map(name => `${PREFIX}${name}`);
const daemon = fc.nat(DAEMONS - 1);
const act: fc.Arbitrary<Act> = fc.oneof(
  key.map((name): Act => world => {
    world.change(state => {
      state.put(name, '{}');
    });
  }),
  key.map((name): Act => world => {
    world.change(state => {
      state.delete(name);
    });
  }),
  // Changes the store between two pages of the next read.
  key.map((name): Act => world => {
    world.beforeNextPage = () => {
      world.change(state => {
        state.put(name, '{}');
      });
    };
  }),
  daemon.map(
    (index): Act =>
      world =>
        world.daemon(index).step(),
  ),
  // Delivers what was published at any time before.
  fc.tuple(daemon, fc.nat()).map(([index, which]): Act => world => {
    world.daemon(index).receive(world.patches[which % world.patches.length]);
  }),
  fc.tuple(daemon, daemon).map(([from, to]): Act => world => {
    world.daemon(to).receive(world.daemon(from).values.fullPatch(KEY));
  }),
  daemon.map((index): Act => world => {
    world.daemons[index] = world.createDaemon();
  }),
  fc.constantFrom<Act>(
    world => {
      world.isDown = !world.isDown;
    },
    world => {
      world.server.state.compactHistory();
    },
    world => {
      world.server.state.put('servers/e1', '{}');
    },
    world => {
      world.restore = world.server.state.copy();
    },
    world => {
      world.change(() => {
        world.restore();
      });
    },
  ),
);

describe('evacuations in any order of reads, watches, gossip and restarts', () => {
  // A daemon with another set than that of its revision would send to an evacuated data centre, or spare one for good.
  it('are at each daemon those of its revision, which never falls, and reach all from one that has read them', async () => {
    const property = fc.asyncProperty(
      fc.array(act, { maxLength: 60 }),
      daemon,
      async (acts, reader) => {
        const world = new World();
        for (const each of acts) {
          const before = world.daemons.map(({ evacuations }) => ({
            evacuations,
            revision: evacuations.revision,
          }));
          await each(world);
          for (const [index, { evacuations }] of world.daemons.entries()) {
            const { dataCentres, revision } = evacuations;
            const expected = revision === 0 ? '' : world.namesAt(revision);
            assert.equal(dataCentres.join(), expected);
            if (before[index]?.evacuations === evacuations)
              assert.ok(revision >= before[index].revision);
          }
        }
        world.isDown = false;
        world.beforeNextPage = undefined;
        // A step after a failed one reads the whole state.
        for (let step = 0; step < 2; step += 1)
          await world.daemon(reader).step();
        for (const { evacuations, values } of world.daemons) {
          // A reader that has found none, and knows no shared value, publishes once it gets an older one.
          world.daemon(reader).receive(values.fullPatch(KEY));
          const newest = world.daemon(reader).values.fullPatch(KEY);
          if (newest !== undefined) values.receivePatch(newest);
          const { dataCentres } = evacuations;
          assert.equal(dataCentres.join(), world.namesAt(Infinity));
        }
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
  });
});
