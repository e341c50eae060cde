import type { Address, Endpoint } from '@skylarkreach/core/ports';
import { promptBlockHashes } from '@skylarkreach/core/ports';
import type { Router, RouteRequest } from '@skylarkreach/core/routing';
import {
  DEFAULT_EXPECTED_FINISH_OPTIONS,
  EndpointTable,
  hash32,
} from '@skylarkreach/core/routing';

/** Base of the routers that the measurements compare with: they use the list alone. */
abstract class BaselineRouter implements Router {
  protected readonly table = new EndpointTable();

  abstract choose(request: RouteRequest): Endpoint | undefined;

  recordDispatch(): void {
    // Own attempts play no part in this choice.
  }

  recordEnd(): void {
    // Own attempts play no part in this choice.
  }

  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void {
    this.table.applyListing(endpoints, asOfMs);
  }

  applyLoad(): void {
    // Load plays no part in this choice.
  }

  applyCacheEvents(): void {
    // The prefix cache plays no part in this choice.
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

/** Endpoints in turn. */
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

/** The endpoint that the prompt's leading blocks hash to, by rendezvous. */
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
