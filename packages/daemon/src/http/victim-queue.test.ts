import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Candidate } from './victim-queue.js';
import { VictimQueue } from './victim-queue.js';

const COUNT = 800;

class Item implements Candidate {
  static reads = 0;

  constructor(
    readonly address: string,
    public value: number | undefined,
  ) {}

  get rank(): number | undefined {
    Item.reads += 1;
    return this.value;
  }
}

describe('VictimQueue', () => {
  it('takes the lowest rank first, then the oldest of the address with the most', () => {
    const open = [
      new Item('b', 2),
      new Item('a', 2),
      new Item('a', 2),
      new Item('c', 1),
      new Item('a', undefined),
    ];
    const queue = new VictimQueue(() => open);
    const added = new Item('d', 1);
    const taken = [0, 1, 2, 3].map(() => queue.take(added, 0));
    const [b, firstOfA, secondOfA, c] = open;
    assert.deepEqual(taken, [c, firstOfA, secondOfA, b]);
  });

  it('keeps a connection on which a request has come since, and closes it not for itself', () => {
    const open = [new Item('a', 1), new Item('a', 1), new Item('a', 1)];
    const queue = new VictimQueue(() => open);
    const [first, second, third] = open;
    assert.ok(first && second && third);
    assert.equal(queue.take(third, 0), first);
    first.value = undefined; // it was closed
    second.value = undefined;
    assert.equal(queue.take(third, 0), undefined);
  });

  // After a crowd had left, its connections stayed in memory until the limit was reached again.
  it('discards an order that is no longer used', () => {
    const open = [new Item('a', 1), new Item('a', 1), new Item('a', 1)];
    const queue = new VictimQueue(() => open);
    queue.take(new Item('b', 1), 0);
    queue.discardOutdated(99);
    assert.equal(queue.size, 2);
    queue.discardOutdated(100);
    assert.equal(queue.size, 0);
  });

  // Each accept beyond the limit looked at all connections, twice.
  for (const [name, value] of [
    ['idle ones', 1],
    ['busy ones', undefined],
  ] as const) {
    it(`looks at few connections for each of a crowd of new ones before ${name}`, () => {
      const open = Array.from({ length: COUNT }, () => new Item('a', value));
      const queue = new VictimQueue(() => open);
      Item.reads = 0;
      for (let number = 0; number < COUNT; number += 1) {
        const added = new Item('b', 1);
        open.push(added);
        const victim = queue.take(added, number / 100) ?? added;
        open.splice(open.indexOf(victim), 1);
      }
      assert.ok(Item.reads < 10 * COUNT, `${Item.reads} reads`);
    });
  }
});
