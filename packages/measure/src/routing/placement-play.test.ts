import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { createPlacement, PlacementWay } from './placement-experiment.js';
import type { PlacementShape } from './placement-load.js';
import { PLACEMENT_SHAPES } from './placement-load.js';
import { PlacementPlay } from './placement-play.js';
import type { PlacementResults } from './placement-results.js';

const DAEMONS = 80; // as the users specify
const DURATION_MS = 12_000; // a quarter of it fills the caches, and is not counted
const SEEDS = [1, 2];

function play(
  shape: PlacementShape,
  way: PlacementWay,
  seed: number,
): Promise<PlacementResults> {
  return new PlacementPlay({
    shape,
    daemons: DAEMONS,
    durationMs: DURATION_MS,
    seed,
    createPolicy: (random, reports) => createPlacement(way, random, reports),
  }).run();
}

describe('placement under load', () => {
  for (const shape of PLACEMENT_SHAPES) {
    it(`gives fewer late first events by least work than by any other rule: ${shape.name} engines, uneven demand`, async () => {
      for (const seed of SEEDS) {
        const late = new Map<PlacementWay, number>();
        for (const way of Object.values(PlacementWay))
          late.set(way, (await play(shape, way, seed)).lateShare);
        const least = late.get(PlacementWay.LeastWork) ?? 1;
        for (const [way, share] of late)
          assert.ok(
            way === PlacementWay.LeastWork || least < share,
            `seed ${seed}: ${least}, ${way} ${share}`,
          );
      }
    });
  }

  it('rejects less than a twentieth of the calls at the engines by least work', async () => {
    for (const shape of PLACEMENT_SHAPES) {
      const { calls, rejections } = await play(
        shape,
        PlacementWay.LeastWork,
        3,
      );
      assert.ok(rejections < calls / 20, `${shape.name}: ${rejections}`);
    }
  });
});
