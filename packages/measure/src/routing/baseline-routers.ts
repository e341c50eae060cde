import type { Address, Endpoint } from '@skylarkreach/core/ports';
import { promptBlockHashes } from '@skylarkreach/core/ports';
import type { Router, RouteRequest } from '@skylarkreach/core/routing';
import {
  DEFAULT_EXPECTED_FINISH_OPTIONS,
  EndpointTable,
  hash32,
} from '@skylarkreach/core/routing';

/** Base class of the baseline routers, which use only the endpoint listing and ignore load and cache events. */
abstract class BaselineRouter implements Router {
  protected readonly table = new EndpointTable();

  abstract choose(request: RouteRequest): Endpoint | undefined;

  recordDispatch(): void {
    // Baselines ignore the attempts of this daemon.
  }

  recordEnd(): void {
    // Baselines ignore the attempts of this daemon.
  }

  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void {
    this.table.applyListing(endpoints, asOfMs);
  }

  applyLoad(): void {
    // Baselines ignore load reports.
  }

  applyCacheEvents(): void {
    // Baselines ignore the state of the prefix cache.
  }

  markLeaving(address: Address, _source: unknown, nowMs: number): void {
    this.table.markLeaving(address, nowMs);
  }

  endpoints(): readonly Endpoint[] {
    return this.table.all();
  }

  protected candidates(request: RouteRequest): readonly Endpoint[] {
    return this.table
      .readyEndpoints(request.group, request.version)
      .filter(endpoint => !request.excluded.has(endpoint.address));
  }
}

/** Router that cycles through the ready endpoints. */
export class RoundRobinRouter extends BaselineRouter {
  private nextIndex: number;

  constructor(firstIndex: number) {
    super();
    this.nextIndex = firstIndex;
  }

  override choose(request: RouteRequest): Endpoint | undefined {
    const candidates = this.candidates(request);
    this.nextIndex += 1;
    return candidates[this.nextIndex % candidates.length];
  }
}

/** Router that selects the endpoint by rendezvous hashing of the prompt's leading blocks. */
export class PrefixHashRouter extends BaselineRouter {
  override choose(request: RouteRequest): Endpoint | undefined {
    const { affinityBlocks, tailBlocks } = DEFAULT_EXPECTED_FINISH_OPTIONS;
    const hashes = promptBlockHashes(request.promptText);
    const keyBlocks = Math.min(affinityBlocks, hashes.length - tailBlocks);
    const key = hashes[keyBlocks - 1] ?? request.requestId;
    let best: Endpoint | undefined;
    let bestHash = -1;
    for (const endpoint of this.candidates(request)) {
      const hash = hash32(`${key} ${endpoint.address}`);
      if (hash <= bestHash) continue;
      best = endpoint;
      bestHash = hash;
    }
    return best;
  }
}
