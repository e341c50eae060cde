import type { Address, Endpoint } from '../ports/index.js';
import { EndpointStage } from '../ports/index.js';
import { BoundedMap } from './bounded-map.js';
import { CandidateGroup } from './candidate-group.js';

/** Stages in the order in which an endpoint passes through them. */
const STAGE_ORDER = [
  EndpointStage.Warming,
  EndpointStage.Ready,
  EndpointStage.Leaving,
  EndpointStage.Terminated,
];
const MAX_REMEMBERED_ENDPOINTS = 8_192;
/** Time for which a leaving mark is kept for an address that is not listed yet. */
const PENDING_LEAVING_TTL_MS = 60_000;

interface KnownEndpoint {
  readonly endpoint: Endpoint;
  /** Time that the newest update of the endpoint describes. */
  readonly asOfMs: number;
}

/**
 * Table of the endpoints known to this daemon. An endpoint's stage only moves
 * forward, so that a stale listing cannot make a leaving endpoint a candidate
 * again. An endpoint whose update is newer than the listing is kept even if it
 * is not listed.
 */
export class EndpointTable {
  private readonly byAddress = new Map<Address, KnownEndpoint>();
  private readonly groups = new Map<string, CandidateGroup>();
  /** Stage of endpoints that are leaving or gone, by `instanceKey`. */
  private readonly leavingStages = new BoundedMap<string, EndpointStage>(
    MAX_REMEMBERED_ENDPOINTS,
  );
  /** Expiry of the leaving mark of addresses that were marked before they were listed. */
  private readonly pendingLeaving = new BoundedMap<Address, number>(
    MAX_REMEMBERED_ENDPOINTS,
  );
  private newestListingAsOfMs = -Infinity;

  /** Applies the platform's listing as of a time; ignores one older than the last applied. */
  applyListing(endpoints: readonly Endpoint[], asOfMs: number): void {
    if (asOfMs < this.newestListingAsOfMs) return;
    this.newestListingAsOfMs = asOfMs;
    const listed = new Set(endpoints.map(endpoint => endpoint.address));
    for (const endpoint of endpoints) this.add(endpoint, asOfMs);
    for (const [address, known] of this.byAddress) {
      if (!listed.has(address) && known.asOfMs <= asOfMs)
        this.removeEndpoint(known);
    }
  }

  /** Adds or updates one endpoint as of a time; ignores an outdated update of another instance. */
  add(endpoint: Endpoint, asOfMs: number): void {
    const known = this.byAddress.get(endpoint.address);
    const isSame = known?.endpoint.instanceId === endpoint.instanceId;
    if (known !== undefined && !isSame && asOfMs < known.asOfMs) return;
    const rememberedStage = this.leavingStages.get(instanceKey(endpoint));
    let stage = laterStage(endpoint.stage, rememberedStage);
    if (isSame) stage = laterStage(stage, known.endpoint.stage);
    if (this.consumePendingLeaving(endpoint.address, asOfMs)) {
      stage = laterStage(stage, EndpointStage.Leaving);
    }
    const newestMs = isSame ? Math.max(asOfMs, known.asOfMs) : asOfMs;
    if (known !== undefined && !isSame) this.removeEndpoint(known);
    this.store({ endpoint: { ...endpoint, stage }, asOfMs: newestMs });
  }

  /**
   * Stops new work to the address. An address that is not known yet is marked, and
   * the mark is applied to the endpoint when it is added before the mark expires.
   */
  markLeaving(address: Address, nowMs: number): void {
    const known = this.byAddress.get(address);
    if (known === undefined) {
      this.pendingLeaving.set(address, nowMs + PENDING_LEAVING_TTL_MS);
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

  /** Returns the endpoints that accept new work for the group and version; undefined if there are none. */
  candidates(group: string, version?: string): CandidateGroup | undefined {
    return this.groups.get(groupKey(group, version));
  }

  /** Returns the same endpoints as `candidates` as an array, empty if there are none. */
  readyEndpoints(group: string, version?: string): readonly Endpoint[] {
    return this.candidates(group, version)?.endpoints() ?? [];
  }

  private store(known: KnownEndpoint): void {
    const { endpoint } = known;
    const previous = this.byAddress.get(endpoint.address);
    this.byAddress.set(endpoint.address, known);
    if (isLeavingOrGone(endpoint.stage)) {
      this.leavingStages.set(instanceKey(endpoint), endpoint.stage);
    }
    if (previous !== undefined) this.removeCandidate(previous.endpoint);
    if (endpoint.stage === EndpointStage.Ready) this.addCandidate(endpoint);
  }

  private removeEndpoint(known: KnownEndpoint): void {
    this.byAddress.delete(known.endpoint.address);
    this.removeCandidate(known.endpoint);
  }

  private consumePendingLeaving(address: Address, asOfMs: number): boolean {
    const expiresAtMs = this.pendingLeaving.get(address);
    this.pendingLeaving.delete(address);
    return expiresAtMs !== undefined && asOfMs < expiresAtMs;
  }

  private addCandidate(endpoint: Endpoint): void {
    for (const key of groupKeys(endpoint)) {
      let group = this.groups.get(key);
      if (group === undefined) {
        group = new CandidateGroup();
        this.groups.set(key, group);
      }
      group.set(endpoint);
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

function instanceKey(endpoint: Endpoint): string {
  return `${endpoint.address} ${endpoint.instanceId}`;
}

function isLeavingOrGone(stage: EndpointStage): boolean {
  return stage === EndpointStage.Leaving || stage === EndpointStage.Terminated;
}

function laterStage(
  left: EndpointStage,
  right: EndpointStage = EndpointStage.Warming,
): EndpointStage {
  return STAGE_ORDER.indexOf(left) >= STAGE_ORDER.indexOf(right) ? left : right;
}
