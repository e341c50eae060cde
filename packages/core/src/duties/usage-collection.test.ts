import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { Fault, MemoryPeers } from '../fakes/index.js';
import { rankDaemons } from '../membership/index.js';
import type { DaemonIdentity } from '../ports/index.js';
import { ManualClock, noopLog, noopMetrics } from '../ports/index.js';
import { UsageCollector } from './usage-collector.js';
import { UsageForwarder } from './usage-forwarder.js';
import { UsageLedger } from './usage-ledger.js';
import { tellUsageMethod, UsageTeller } from './usage-teller.js';

const SEED = 11;
const WINDOW = 2;
const STEP_MS = 100;
/** Two intervals of a daemon, one of its collector, and the calls in between. */
const DELIVERY_MS = 2_500;

/** Daemons `a0` to `a3` of one data centre, and one each of two others: `h`, which holds the duties first, and `i`. */
class Deployment {
  readonly clock = new ManualClock(10_000);
  readonly faults = new Map<string, Fault>();
  readonly calls: string[] = [];
  readonly dead = new Set<string>();
  readonly unable = new Set<string>();
  readonly network = new MemoryPeers(this.clock, (from, to) => {
    this.calls.push(`${from}>${to}`);
    return (
      this.faults.get(`${from}>${to}`) ?? this.faults.get(to) ?? Fault.None
    );
  });
  readonly daemons = ['a0', 'a1', 'a2', 'a3', 'h', 'i'].map(id =>
    identityOf(id),
  );
  readonly ledgers = new Map<string, UsageLedger>();
  readonly steps = new Map<string, () => Promise<unknown>>();
  holderId = 'h';
  fencingNumber = 1;
  takesCollected = true;

  constructor() {
    for (const daemon of this.daemons) this.start(daemon);
  }

  /** Daemons of the first data centre in the order in which they become its collector. */
  get collectors(): readonly string[] {
    const locals = this.daemons.slice(0, 4);
    return rankDaemons('usage collector', locals).map(each => each.id);
  }

  count(id: string, workspace = 'kowhai'): void {
    this.ledgers.get(id)?.count(workspace, 0);
  }

  total(id = this.holderId): number {
    const { counts = {} } = this.ledgers.get(id)?.totalReport(WINDOW) ?? {};
    return Object.values(counts).reduce((sum, each) => sum + each, 0);
  }

  changeHolder(id: string): void {
    this.holderId = id;
    this.fencingNumber += 1;
  }

  kill(id: string): void {
    this.dead.add(id);
    this.network.remove(id);
  }

  /** Starts a process again, without the counts that it had. */
  restart(id: string): void {
    this.network.remove(id);
    this.start(identityOf(id), 2);
  }

  async run(durationMs: number): Promise<void> {
    const endsAtMs = this.clock.nowMs() + durationMs;
    while (this.clock.nowMs() < endsAtMs) {
      for (const [id, step] of this.steps) if (!this.dead.has(id)) void step();
      await this.clock.advanceTo(this.clock.nowMs() + STEP_MS);
    }
  }

  private start(self: DaemonIdentity, run = 1): void {
    const { id } = self;
    // All counts stay in one window, however long a test takes.
    const ledger = new UsageLedger(5_000, () => 10_000, `${id}/${run}`);
    const live = () => this.daemons.filter(each => !this.dead.has(each.id));
    const deps = {
      clock: this.clock,
      ledger,
      log: noopLog,
      metrics: noopMetrics,
      peer: this.network.peer(id),
      registry: this.network.registry(id),
      isEnabled: () => true,
      holdsDuties: () => this.holderId === id,
      holder: () => {
        const daemon = live().find(each => each.id === this.holderId);
        const { fencingNumber, takesCollected } = this;
        if (daemon === undefined || daemon.id === id) return undefined;
        return { daemon, fencingNumber, takesCounts: true, takesCollected };
      },
    };
    const forwarder = new UsageForwarder(deps);
    const teller = new UsageTeller({
      ...deps,
      forwarder,
      self: () => self,
      livePeers: () => live().filter(each => each.id !== id),
      mayCollect: peerId => !this.unable.has(peerId),
    });
    this.ledgers.set(id, ledger);
    this.steps.set(id, () => Promise.all([teller.step(), forwarder.step()]));
  }
}

function identityOf(id: string): DaemonIdentity {
  const dataCentre = id.startsWith('a') ? 'a' : id;
  return { id, peerAddress: id, dataCentre, callerUrl: '' };
}

describe('collection of usage counts', () => {
  // Each daemon called the holder, whose processor time rose with their number.
  it('reaches the holder through one daemon of a data centre, or directly from one that is alone', async () => {
    const deployment = new Deployment();
    const [collector = ''] = deployment.collectors;
    for (const { id } of deployment.daemons) deployment.count(id);
    await deployment.run(DELIVERY_MS);
    assert.equal(deployment.total(), 6);
    const senders = deployment.calls.filter(call => call.endsWith('>h'));
    assert.deepEqual([...new Set(senders)].sort(), [`${collector}>h`, 'i>h']);
  });

  it('costs no message while no count changes', async () => {
    const deployment = new Deployment();
    for (const { id } of deployment.daemons) deployment.count(id);
    await deployment.run(DELIVERY_MS);
    const sent = deployment.calls.length;
    await deployment.run(DELIVERY_MS);
    assert.equal(deployment.calls.length, sent);
  });

  // Each case is a way in which the counts of a data centre stay with its collector.
  const losses: Readonly<
    Record<string, (deployment: Deployment, collector: string) => void>
  > = {
    killed: (deployment, collector) => {
      deployment.kill(collector);
    },
    'killed but not yet known to be dead': (deployment, collector) => {
      deployment.network.remove(collector);
    },
    paused: ({ faults }, collector) => faults.set(collector, Fault.Silent),
    'cut off from the holder': ({ faults }, collector) =>
      faults.set(`${collector}>h`, Fault.Silent),
    'cut off from all': ({ faults, daemons }, collector) => {
      for (const { id } of daemons) {
        faults.set(`${collector}>${id}`, Fault.Silent);
        faults.set(`${id}>${collector}`, Fault.Silent);
      }
    },
  };
  for (const [name, lose] of Object.entries(losses)) {
    it(`goes on through another daemon if the collector is ${name}`, async () => {
      const deployment = new Deployment();
      const [collector = '', ...others] = deployment.collectors;
      lose(deployment, collector);
      for (const id of others) deployment.count(id);
      await deployment.run(DELIVERY_MS);
      assert.equal(deployment.total(), 3);
    });
  }

  // The new process was asked whether it passes on counts that it did not have.
  it('is told again to a collector that starts again before it has passed the counts on', async () => {
    const deployment = new Deployment();
    const [collector = '', , , last = ''] = deployment.collectors;
    await deployment.run(DELIVERY_MS);
    for (const id of [collector, last]) {
      deployment.count(id);
      await deployment.run(STEP_MS);
    }
    assert.equal(deployment.total(), 1);
    assert.equal(deployment.total(collector), 2);
    deployment.restart(collector);
    await deployment.run(DELIVERY_MS);
    assert.equal(deployment.total(), 2);
  });

  it('goes directly to the holder if two collectors have failed', async () => {
    const deployment = new Deployment();
    const [first = '', second = '', , last = ''] = deployment.collectors;
    for (const id of [first, second]) deployment.faults.set(id, Fault.Silent);
    deployment.count(last);
    await deployment.run(DELIVERY_MS);
    assert.equal(deployment.total(), 1);
    assert.ok(deployment.calls.includes(`${last}>h`));
  });

  it('counts once what two collectors send that do not know of each other', async () => {
    const deployment = new Deployment();
    const [first = '', second = '', third = ''] = deployment.collectors;
    deployment.count(third);
    await deployment.run(DELIVERY_MS);
    deployment.kill(first);
    deployment.count(third);
    await deployment.run(DELIVERY_MS);
    deployment.dead.delete(first);
    assert.ok(deployment.calls.includes(`${second}>h`));
    assert.equal(deployment.total(), 2);
  });

  it('gives a new holder all counts, also if it is the collector or the same daemon without its counts', async () => {
    const deployment = new Deployment();
    for (const { id } of deployment.daemons) deployment.count(id);
    await deployment.run(DELIVERY_MS);
    for (const id of ['i', ...deployment.collectors]) {
      deployment.changeHolder(id);
      await deployment.run(DELIVERY_MS);
      assert.equal(deployment.total(), 6);
    }
  });

  it('tells a holder of an earlier build directly: each change once, and a new holder all', async () => {
    const deployment = new Deployment();
    deployment.takesCollected = false;
    for (const id of ['h', 'h', 'i']) {
      if (deployment.holderId !== id) deployment.changeHolder(id);
      for (const local of deployment.collectors) deployment.count(local);
      await deployment.run(DELIVERY_MS);
    }
    assert.equal(deployment.total('h'), 8);
    assert.equal(deployment.total('i'), 12);
    assert.ok(!deployment.calls.some(call => /^a.>a/.test(call)));
  });

  for (const isKnown of [true, false]) {
    it(`passes by a daemon of an earlier build as collector, known by hints: ${isKnown}`, async () => {
      const deployment = new Deployment();
      const [first = '', , third = ''] = deployment.collectors;
      if (isKnown) deployment.unable.add(first);
      const { network, ledgers } = deployment;
      deployment.steps.delete(first);
      network.registry(first).handle(tellUsageMethod, message => {
        ledgers.get(first)?.applyPeer(message);
        return Promise.resolve({});
      });
      deployment.count(third);
      await deployment.run(DELIVERY_MS);
      assert.equal(deployment.total(), 1);
    });
  }

  // A holder of the duties that daemons of earlier builds told directly kept each of their lifetimes until it lost the duties.
  it('forgets lifetimes that are silent, also while it passes nothing on', () => {
    const collector = new UsageCollector(new UsageLedger(5_000, () => 10_000));
    for (let number = 0; number < 10_000; number += 1)
      collector.record(`a1/${number}`, number * 1_000);
    assert.ok(collector.lifetimeCount < 100, `${collector.lifetimeCount}`);
  });

  it('counts nothing twice and loses nothing, whichever way the counts take', async () => {
    const id = fc.constantFrom('a0', 'a1', 'a2', 'a3', 'h', 'i');
    const workspace = fc.constantFrom('kowhai', 'lumela');
    const waitMs = fc.constantFrom(100, 300, 1_200);
    const fault = fc.constantFrom(
      Fault.None,
      Fault.Silent,
      Fault.Down,
      Fault.AnswerLost,
    );
    const event = fc.oneof(
      { arbitrary: fc.record({ count: id, workspace }), weight: 6 },
      { arbitrary: fc.record({ from: id, to: id, fault }), weight: 2 },
      { arbitrary: fc.record({ holder: id }), weight: 1 },
      { arbitrary: fc.record({ waitMs }), weight: 4 },
    );
    const property = fc.asyncProperty(
      fc.array(event, { maxLength: 60 }),
      async events => {
        const deployment = new Deployment();
        let counted = 0;
        for (const each of events) {
          if ('count' in each) {
            deployment.count(each.count, each.workspace);
            counted += 1;
          } else if ('fault' in each) {
            deployment.faults.set(`${each.from}>${each.to}`, each.fault);
          } else if ('holder' in each) {
            deployment.changeHolder(each.holder);
          } else {
            await deployment.run(each.waitMs);
          }
          for (const daemon of deployment.daemons)
            assert.ok(deployment.total(daemon.id) <= counted);
        }
        deployment.faults.clear();
        await deployment.run(DELIVERY_MS);
        assert.equal(deployment.total(), counted);
      },
    );
    await fc.assert(property, { seed: SEED });
  });
});
