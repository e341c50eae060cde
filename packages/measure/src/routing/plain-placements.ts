import type {
  PeerLoadAt,
  PlacementPolicy,
  PlacementQuery,
  PoolMember,
} from '@skylarkreach/core/forwarding';
import type { Random } from '@skylarkreach/core/ports';

/** Addition to the cost of an endpoint that was not drawn. */
const NOT_DRAWN = 1_000_000;

/** The fewest requests in flight, of this daemon and of its peers as far as they have told. */
export class LeastInFlightPlacement implements PlacementPolicy {
  constructor(private readonly random: Random) {}

  costMs(member: PoolMember, _query: PlacementQuery, load: PeerLoadAt): number {
    return member.running + load.running + this.random.nextFloat();
  }
}

/** The one of two random endpoints with fewer requests in flight (Mitzenmacher, 2001). */
export class TwoChoicesPlacement implements PlacementPolicy {
  private query: PlacementQuery | undefined;
  private seen = 0;
  private members = 2;
  private drawn: readonly number[] = [];

  constructor(private readonly random: Random) {}

  costMs(member: PoolMember, query: PlacementQuery, load: PeerLoadAt): number {
    if (query !== this.query) this.draw(query);
    const index = this.seen;
    this.seen += 1;
    const inFlight = member.running + load.running + this.random.nextFloat();
    return this.drawn.includes(index) ? inFlight : inFlight + NOT_DRAWN;
  }

  /** Draws among as many endpoints as the last query compared. */
  private draw(query: PlacementQuery): void {
    this.members = Math.max(2, this.seen);
    this.query = query;
    this.seen = 0;
    this.drawn = [0, 1].map(() => this.random.nextInteger(this.members));
  }
}
