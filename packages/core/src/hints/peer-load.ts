import type { EndpointLoad } from '../forwarding/index.js';

/** Load that one daemon has at each endpoint, by endpoint id. */
type DaemonLoad = Readonly<Record<string, EndpointLoad>>;

const NO_LOAD: EndpointLoad = { running: 0, backlogTokens: 0 };

/** Sum of the load of several daemons at each endpoint, kept up to date at the cost of one daemon's endpoints for each change. */
export class PeerLoad {
  private readonly byLifetime = new Map<string, DaemonLoad>();
  private readonly sums = new Map<string, EndpointLoad>();

  /** Returns the sums by endpoint id; endpoints without load are absent. The map changes with later calls. */
  get total(): ReadonlyMap<string, EndpointLoad> {
    return this.sums;
  }

  /** Replaces the load of a lifetime of a daemon. */
  replace(lifetime: string, load: DaemonLoad): void {
    this.remove(lifetime);
    this.byLifetime.set(lifetime, load);
    this.add(load, 1);
  }

  remove(lifetime: string): void {
    const load = this.byLifetime.get(lifetime);
    if (load === undefined) return;
    this.byLifetime.delete(lifetime);
    this.add(load, -1);
  }

  private add(load: DaemonLoad, sign: 1 | -1): void {
    for (const [id, { backlogTokens, running }] of Object.entries(load)) {
      const sum = this.sums.get(id) ?? NO_LOAD;
      const next = {
        running: sum.running + sign * running,
        backlogTokens: sum.backlogTokens + sign * backlogTokens,
      };
      if (next.running === 0 && next.backlogTokens === 0) this.sums.delete(id);
      else this.sums.set(id, next);
    }
  }
}
