import type { Address, Endpoint } from '../ports/index.js';
import { EndpointStage } from '../ports/index.js';
import { BoundedMap } from './bounded-map.js';
import { CandidateGroup } from './candidate-group.js';

const STAGE_ORDER = [
  EndpointStage.Warming,
  EndpointStage.Ready,
  EndpointStage.Leaving,
  EndpointStage.Gone,
];
const MAX_REMEMBERED = 8_192;
const UNLISTED_LEAVING_MS = 60_000;

interface KnownEndpoint {
  readonly endpoint: Endpoint;
  /** Time that the newest word on the endpoint describes. */
  readonly asOfMs: number;
}

/**
 * Endpoints known to this daemon. A stage never goes back, so that a lagging
 * list cannot return an endpoint that is leaving; an endpoint that is newer
 * than the list stays.
 */
export class EndpointTable {
  private readonly byAddress = new Map<Address, KnownEndpoint>();
  private readonly groups = new Map<string, CandidateGroup>();
  /** Stage of endpoints that have left, by `identityOf`. */
  private readonly endedStages = new BoundedMap<string, EndpointStage>(
    MAX_REMEMBERED,
  );
  /** Addresses said to be leaving before they were listed, with the mark's expiry. */
  private readonly unlistedLeaving = new BoundedMap<Address, number>(
    MAX_REMEMBERED,
  );
  private newestListingMs = -Infinity;

  /** Applies the platform's list; a list older than the last one has no effect. */
  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void {
    if (asOfMs < this.newestListingMs) return;
    this.newestListingMs = asOfMs;
    const listed = new Set(endpoints.map(endpoint => endpoint.address));
    for (const endpoint of endpoints) this.add(endpoint, asOfMs);
    for (const [address, known] of this.byAddress) {
      if (!listed.has(address) && known.asOfMs <= asOfMs) this.forget(known);
    }
  }

  /** Takes word of one endpoint, as of a time. */
  add(endpoint: Endpoint, asOfMs: number): void {
    const known = this.byAddress.get(endpoint.address);
    const isSame = known?.endpoint.instanceId === endpoint.instanceId;
    if (known !== undefined && !isSame && asOfMs < known.asOfMs) return;
    const remembered = this.endedStages.get(identityOf(endpoint));
    let stage = laterStage(endpoint.stage, remembered);
    if (isSame) stage = laterStage(stage, known.endpoint.stage);
    if (this.takeUnlistedMark(endpoint.address, asOfMs)) {
      stage = laterStage(stage, EndpointStage.Leaving);
    }
    const newestMs = isSame ? Math.max(asOfMs, known.asOfMs) : asOfMs;
    if (known !== undefined && !isSame) this.forget(known);
    this.store({ endpoint: { ...endpoint, stage }, asOfMs: newestMs });
  }

  /** Stops new work to the address; one not listed yet is marked for when it is. */
  markLeaving(address: Address, nowMs: number): void {
    const known = this.byAddress.get(address);
    if (known === undefined) {
      this.unlistedLeaving.set(address, nowMs + UNLISTED_LEAVING_MS);
      return;
    }
    const stage = laterStage(known.endpoint.stage, EndpointStage.Leaving);
    this.store({ ...known, endpoint: { ...known.endpoint, stage } });
  }

  get(address: Address): Endpoint | undefined {
    return this.byAddress.get(address)?.endpoint;
  }

  all(): readonly Endpoint[] {
    return [...this.byAddress.values()].map(known => known.endpoint);
  }

  /** Endpoints that take new work for the group and version. */
  candidates(group: string, version?: string): CandidateGroup | undefined {
    return this.groups.get(groupKey(group, version));
  }

  /** The same as a list. */
  ready(group: string, version?: string): readonly Endpoint[] {
    return this.candidates(group, version)?.all() ?? [];
  }

  private store(known: KnownEndpoint): void {
    const { endpoint } = known;
    const previous = this.byAddress.get(endpoint.address);
    this.byAddress.set(endpoint.address, known);
    if (hasLeft(endpoint.stage)) {
      this.endedStages.set(identityOf(endpoint), endpoint.stage);
    }
    if (previous !== undefined) this.removeCandidate(previous.endpoint);
    if (endpoint.stage === EndpointStage.Ready) this.putCandidate(endpoint);
  }

  private forget(known: KnownEndpoint): void {
    this.byAddress.delete(known.endpoint.address);
    this.removeCandidate(known.endpoint);
  }

  private takeUnlistedMark(address: Address, asOfMs: number): boolean {
    const expiresAtMs = this.unlistedLeaving.get(address);
    this.unlistedLeaving.delete(address);
    return expiresAtMs !== undefined && asOfMs < expiresAtMs;
  }

  private putCandidate(endpoint: Endpoint): void {
    for (const key of groupKeys(endpoint)) {
      let group = this.groups.get(key);
      if (group === undefined) {
        group = new CandidateGroup();
        this.groups.set(key, group);
      }
      group.put(endpoint);
    }
  }

  private removeCandidate(endpoint: Endpoint): void {
    for (const key of groupKeys(endpoint)) {
      const group = this.groups.get(key);
      group?.remove(endpoint.address);
      if (group?.size === 0) this.groups.delete(key);
    }
  }
}

function groupKey(group: string, version?: string): string {
  return JSON.stringify([group, version]);
}

function groupKeys(endpoint: Endpoint): readonly string[] {
  return [groupKey(endpoint.group), groupKey(endpoint.group, endpoint.version)];
}

function identityOf(endpoint: Endpoint): string {
  return `${endpoint.address} ${endpoint.instanceId}`;
}

function hasLeft(stage: EndpointStage): boolean {
  return stage === EndpointStage.Leaving || stage === EndpointStage.Gone;
}

function laterStage(
  left: EndpointStage,
  right: EndpointStage = EndpointStage.Warming,
): EndpointStage {
  return STAGE_ORDER.indexOf(left) >= STAGE_ORDER.indexOf(right) ? left : right;
}
