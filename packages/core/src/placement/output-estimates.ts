import type {
  OutputEstimate,
  OutputEstimator,
  OutputTraits,
} from '../forwarding/index.js';
import type { Metrics } from '../ports/index.js';
import { BoundedMap } from '../routing/index.js';
import { MovingAverage } from './moving-average.js';

/** Weight of the newest request in the averages of a kind. */
const WEIGHT = 0.1; // averages about the last ten requests
/** Requests from which a kind's own average is used. */
const MIN_REQUESTS = 3; // fewer say less than the hint, which is correct at the median
/** Number of kinds whose averages are kept. */
const MAX_KINDS = 4_096; // some 100 routes and workspaces with 20 sizes of hints, twice

/** Averages of the logarithm of the output tokens, and of the size of its error. */
interface KindAverages {
  readonly log: MovingAverage;
  readonly error: MovingAverage;
}

/**
 * Output tokens by route, workspace and hint, with the error beside them. Hints
 * of similar size count as one kind; a kind that is not known yet is estimated
 * by that of all workspaces of the route, and else by the hint itself.
 */
export class OutputEstimates implements OutputEstimator {
  private readonly kinds = new BoundedMap<string, KindAverages>(MAX_KINDS);

  constructor(private readonly metrics: Metrics) {}

  estimate(traits: OutputTraits): OutputEstimate | undefined {
    const known = keysOf(traits)
      .map(key => this.kinds.get(key))
      .find(kind => kind !== undefined && kind.log.count >= MIN_REQUESTS);
    if (known !== undefined)
      return {
        tokens: Math.exp(known.log.value),
        errorFactor: Math.exp(known.error.value),
      };
    const { hint } = traits;
    return hint === undefined ? undefined : { tokens: hint, errorFactor: 1 };
  }

  record(traits: OutputTraits, tokens: number): void {
    const log = Math.log(Math.max(1, tokens));
    const before = this.estimate(traits);
    const error =
      before && Math.abs(log - Math.log(Math.max(1, before.tokens)));
    if (error !== undefined)
      this.metrics.increment('placement_outputEstimates', 1, {
        off: error > Math.LN2 ? 'overTwice' : 'underTwice',
      });
    for (const key of keysOf(traits)) {
      const kind = this.kinds.get(key) ?? {
        log: new MovingAverage(log, WEIGHT),
        error: new MovingAverage(0, WEIGHT),
      };
      kind.log.add(log);
      if (error !== undefined) kind.error.add(error);
      this.kinds.set(key, kind);
    }
  }
}

/** Returns the kinds of a request, the closest first. */
function keysOf({ hint, route, workspace }: OutputTraits): readonly string[] {
  const size =
    hint === undefined ? '' : String(Math.round(Math.log2(Math.max(1, hint))));
  return [`${route}\n${size}\n${workspace ?? ''}`, `${route}\n${size}`];
}
