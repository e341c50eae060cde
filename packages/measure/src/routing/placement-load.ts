import type { Random } from '@skylarkreach/core/ports';
import { SeededRandom } from '@skylarkreach/core/ports';

/** Requests of one kind, as the users describe them. */
export interface CallKind {
  readonly name: string;
  /** Relative frequency. */
  readonly share: number;
  readonly sharedTokens: number;
  readonly ownTokens: number;
  readonly minEvents: number;
  readonly maxEvents: number;
  /** Number of different shared parts, of which the first ones are used most. */
  readonly sharedParts: number;
  /** Latency objective, to the first event. */
  readonly objectiveMs: number;
}

/** Load and endpoints for each 80 daemons. */
export interface PlacementShape {
  readonly name: string;
  readonly engines: number;
  readonly slots: number;
  readonly minSpeed: number;
  readonly maxSpeed: number;
  /** Whether other work slows the engines' machines down at times. */
  readonly isNoisy: boolean;
  readonly requestsPerSecond: number;
  readonly kinds: readonly CallKind[];
}

/** One request of a play. */
export interface PlacementCall {
  readonly kind: CallKind;
  readonly sharedId: string;
  readonly ownId: string;
  readonly events: number;
  readonly arrivesAtMs: number;
}

export const REFERENCE_DAEMONS = 80;

const KINDS: readonly CallKind[] = [
  {
    name: 'long',
    share: 0.35,
    sharedTokens: 13_300,
    ownTokens: 3_720,
    minEvents: 7,
    maxEvents: 30,
    sharedParts: 40,
    objectiveMs: 570,
  },
  {
    name: 'medium',
    share: 0.35,
    sharedTokens: 6_300,
    ownTokens: 2_890,
    minEvents: 7,
    maxEvents: 13,
    sharedParts: 40,
    objectiveMs: 570,
  },
  {
    name: 'short',
    share: 0.3,
    sharedTokens: 350,
    ownTokens: 1_110,
    minEvents: 25,
    maxEvents: 43,
    sharedParts: 20,
    objectiveMs: 570,
  },
];

/** Equal engines, and uneven ones on machines with other work. */
export const PLACEMENT_SHAPES: readonly PlacementShape[] = [
  {
    name: 'even',
    engines: 98,
    slots: 16,
    minSpeed: 1,
    maxSpeed: 1,
    isNoisy: false,
    requestsPerSecond: 560,
    kinds: KINDS,
  },
  {
    name: 'noisy',
    engines: 63,
    slots: 48,
    minSpeed: 0.55,
    maxSpeed: 1.2,
    isNoisy: true,
    requestsPerSecond: 400,
    kinds: KINDS,
  },
];

/** Part of a play with more load, as shares of its duration, and the load's factor. */
const BURST = { fromShare: 0.5, toShare: 0.7, factor: 1.6 };

/** Returns the calls of a play in order of arrival: Poisson arrivals with a burst, and shared parts by Zipf's law. */
export function createCalls(
  shape: PlacementShape,
  daemons: number,
  durationMs: number,
  seed: number,
): readonly PlacementCall[] {
  const random = new SeededRandom(seed);
  const perMs =
    (shape.requestsPerSecond / 1_000) * (daemons / REFERENCE_DAEMONS);
  const calls: PlacementCall[] = [];
  let atMs = 0;
  for (;;) {
    const share = atMs / durationMs;
    const isBurst = share >= BURST.fromShare && share < BURST.toShare;
    const rate = perMs * (isBurst ? BURST.factor : 1);
    atMs += -Math.log(1 - random.nextFloat()) / rate;
    if (atMs >= durationMs) return calls;
    calls.push(createCall(shape, calls.length, atMs, daemons, random));
  }
}

function createCall(
  shape: PlacementShape,
  index: number,
  arrivesAtMs: number,
  daemons: number,
  random: Random,
): PlacementCall {
  const kind = drawKind(shape.kinds, random);
  const parts = Math.max(
    1,
    Math.round((kind.sharedParts * daemons) / REFERENCE_DAEMONS),
  );
  // The inverse of the distribution function of Zipf's law with exponent 1, approximately.
  const part = Math.floor((parts + 1) ** random.nextFloat()) - 1;
  return {
    kind,
    sharedId: `${kind.name}-${part}`,
    ownId: `own-${index}`,
    events:
      kind.minEvents + random.nextInteger(kind.maxEvents - kind.minEvents + 1),
    arrivesAtMs,
  };
}

function drawKind(kinds: readonly CallKind[], random: Random): CallKind {
  const total = kinds.reduce((sum, { share }) => sum + share, 0);
  let remainder = random.nextFloat() * total;
  const drawn = kinds.find(({ share }) => (remainder -= share) < 0);
  const kind = drawn ?? kinds.at(-1);
  if (kind === undefined) throw new Error('The shape has no kinds of calls.');
  return kind;
}
