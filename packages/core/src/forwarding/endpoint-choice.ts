import type { AttemptHistory, AttemptRecord } from './attempt-history.js';
import type { DataCentreGate } from './data-centre-gate.js';
import type { EndpointPool } from './endpoint-pool.js';
import type { ForwardRequest } from './forward-request.js';
import type { VersionConstraint, VersionSelector } from './forwarder.js';
import type { RequestHomes } from './home-regions.js';
import type { PoolQuery } from './pool-query.js';
import type { PoolReservation } from './pool-reservation.js';
import type { RelayedPart, RequestRelay } from './request-relay.js';

export interface EndpointChoiceOptions {
  readonly attempts: AttemptHistory;
  readonly group: string;
  /** Where the request may go; undefined if it has no home regions. */
  readonly homes: RequestHomes | undefined;
  readonly dataCentres: Pick<DataCentreGate, 'findBarrier'>;
  readonly request: ForwardRequest;
  /** Whether the request may be sent again to an endpoint that it reached. */
  readonly isRepeatable: boolean;
  readonly pool: EndpointPool;
  readonly versions: VersionSelector;
  readonly requestRelay: RequestRelay;
  /** Whether endpoints without known capacity are chosen last. */
  readonly prefersRoom?: boolean;
  /** Given if a peer passed the request on to this daemon. */
  readonly relayed: RelayedPart | undefined;
  /** Output tokens to expect; undefined if nothing is known. */
  readonly expectedOutputTokens?: number | undefined;
}

/** Chooses the endpoints of one request's attempts. */
export class EndpointChoice {
  constructor(private readonly options: EndpointChoiceOptions) {}

  /** Ids of the endpoints and peers that were tried. */
  get triedIds(): readonly string[] {
    const { attempts } = this.options;
    return [...attempts.triedIds(), ...attempts.triedPeerIds()];
  }

  /** Whether this daemon reaches no endpoint of the group. */
  isCutOff(): boolean {
    const { group, requestRelay } = this.options;
    return requestRelay.isUnreachable(group);
  }

  /**
   * Reserves an endpoint that was not tried, or any if all were tried. A request
   * that may not be repeated never returns to an endpoint that it reached: a copy
   * of the endpoint's refusal could be taken for the answer to the second attempt.
   * Where this daemon reaches no endpoint, a peer is reserved.
   */
  reserve(nowMs: number): PoolReservation | undefined {
    const peer = this.reservePeer(nowMs);
    if (peer !== undefined || this.isBarredFromEndpoints()) return peer;
    const { attempts, isRepeatable } = this.options;
    const tried = attempts.triedIds();
    const barred = isRepeatable ? new Set<string>() : attempts.reachedIds();
    const isFirst = this.triedIds.length === 0;
    return this.reserveOutside(isFirst ? [tried] : [tried, barred], nowMs);
  }

  /**
   * Reserves an endpoint that takes over from the one of the attempt in progress,
   * which is silent: one that was not tried, or else one that was not left for its
   * silence. A request that may not be repeated is never taken over.
   */
  reserveReplacement(nowMs: number): PoolReservation | undefined {
    const peer = this.reservePeer(nowMs);
    if (peer !== undefined || this.isBarredFromEndpoints()) return peer;
    const { attempts } = this.options;
    const silent = new Set([
      ...attempts.silentIds(),
      ...attempts.all
        .slice(-1)
        .flatMap(({ id, relayedIds }) => [id, ...relayedIds]),
    ]);
    return this.reserveOutside([attempts.triedIds(), silent], nowMs);
  }

  /** Whether the endpoint of a reservation made earlier still accepts requests. */
  isStillReady({ endpoint, isPeer }: PoolReservation, nowMs: number): boolean {
    return isPeer === true || this.options.pool.isReady(endpoint.id, nowMs);
  }

  /** Whether an endpoint that may get the request back still accepts requests. */
  hasLeft(nowMs: number): boolean {
    return this.isAnyReady(new Set(this.returnableIds()), nowMs);
  }

  /** Whether an endpoint to which the request has not gone back yet may get it back. */
  hasFirstReturn(nowMs: number): boolean {
    const { attempts } = this.options;
    const putOffIds = attempts.putOffIds();
    const ids = this.returnableIds().filter(id => !putOffIds.has(id));
    return this.isAnyReady(new Set(ids), nowMs);
  }

  /** Returns the attempts at endpoints that still accept requests, and those through peers. */
  openAttempts(nowMs: number): readonly AttemptRecord[] {
    const { attempts, group, pool } = this.options;
    const ready = pool.readyEndpoints(group, nowMs).map(({ id }) => id);
    const readyIds = new Set(ready);
    return attempts.all.filter(({ id, isPeer }) => isPeer || readyIds.has(id));
  }

  /**
   * Reserves an endpoint that was left for another one, or else one that broke off,
   * if retries may still use its version: one that was only silent goes on.
   */
  reserveLeft(nowMs: number): PoolReservation | undefined {
    if (this.isBarredFromEndpoints()) return undefined;
    const { attempts } = this.options;
    return (
      this.reserveAmong(attempts.leftIds(), nowMs) ??
      this.reserveAmong(attempts.brokenIds(), nowMs)
    );
  }

  /**
   * Reserves an endpoint that was left for its silence and has not got the request
   * back, for one that is silent now. Each gets it back so once: where all are slow,
   * a request that goes to and fro would end nowhere.
   */
  reserveLeftOnce(nowMs: number): PoolReservation | undefined {
    const { attempts, relayed } = this.options;
    if (relayed !== undefined || this.isBarredFromEndpoints()) return undefined;
    return this.reserveAmong(attempts.leftOnceIds(), nowMs);
  }

  /** Reserves an endpoint that may have run the request, if possible another one than that of the last attempt. */
  reserveRunBefore(nowMs: number): PoolReservation | undefined {
    if (this.isBarredFromEndpoints()) return undefined;
    const { attempts } = this.options;
    const all = attempts.runIds();
    const lastId = attempts.all.at(-1)?.id;
    const others = new Set([...all].filter(id => id !== lastId));
    return this.reserveAmong(others, nowMs) ?? this.reserveAmong(all, nowMs);
  }

  private returnableIds(): readonly string[] {
    const { attempts, relayed } = this.options;
    // The daemon that took the request from its caller decides on a return.
    if (relayed !== undefined) return [];
    return [...attempts.leftIds(), ...attempts.brokenIds()];
  }

  private reserveAmong(
    ids: ReadonlySet<string>,
    nowMs: number,
  ): PoolReservation | undefined {
    const { group, pool, versions } = this.options;
    const others = pool
      .readyEndpoints(group, nowMs)
      .map(({ id }) => id)
      .filter(id => !ids.has(id));
    const query = this.queryFor(versions.chooseForRetry(group));
    return pool.reserve({ ...query, excluded: new Set(others) }, nowMs);
  }

  private isAnyReady(ids: ReadonlySet<string>, nowMs: number): boolean {
    const { group, pool } = this.options;
    return pool.readyEndpoints(group, nowMs).some(({ id }) => ids.has(id));
  }

  private reservePeer(nowMs: number): PoolReservation | undefined {
    const { dataCentres, group, homes, relayed, requestRelay } = this.options;
    if (relayed !== undefined || !this.isCutOff()) return undefined;
    // Peers may send no more to these data centres than this daemon.
    if (dataCentres.findBarrier(group, homes) !== undefined) return undefined;
    return requestRelay.reserve(
      group,
      new Set(this.triedIds),
      nowMs,
      homes?.daemonDataCentres,
    );
  }

  /** Returns whether only another daemon can still reach an endpoint for the request. */
  private isBarredFromEndpoints(): boolean {
    const { attempts, relayed } = this.options;
    const isOthersTurn =
      relayed !== undefined || attempts.all.some(({ isPeer }) => isPeer);
    return isOthersTurn && this.isCutOff();
  }

  /** Reserves an endpoint outside the first of the sets that leaves one. */
  private reserveOutside(
    exclusions: readonly ReadonlySet<string>[],
    nowMs: number,
  ): PoolReservation | undefined {
    const { attempts, group, versions } = this.options;
    const rule =
      this.triedIds.length === 0
        ? versions.choose(group)
        : versions.chooseForRetry(group);
    const query = this.queryFor(rule);
    for (const excluded of exclusions) {
      const reserved = this.reserveIn({ ...query, excluded }, nowMs);
      if (reserved !== undefined) return reserved;
    }
    if (rule.only === undefined) return undefined;
    // The version on trial has no usable endpoint; fall back to any other version.
    const { onlyVersion, ...rest } = query;
    return this.reserveIn(
      { ...rest, excluded: attempts.triedIds(), notVersion: onlyVersion ?? '' },
      nowMs,
    );
  }

  private reserveIn(
    query: PoolQuery,
    nowMs: number,
  ): PoolReservation | undefined {
    const { pool, prefersRoom } = this.options;
    const withRoom =
      prefersRoom === true
        ? pool.reserve({ ...query, requiresRoom: true }, nowMs)
        : undefined;
    return withRoom ?? pool.reserve(query, nowMs);
  }

  /** Whether an attempt may wait for its prompt from another endpoint: none may after one that did has failed, here or at another daemon. */
  private mayTransferPrompt(): boolean {
    const { attempts, isRepeatable, relayed } = this.options;
    const wasTriedElsewhere = (relayed?.excludedIds.length ?? 0) > 0;
    const hasFailed = wasTriedElsewhere || attempts.hasFailedWithSource();
    return isRepeatable && !hasFailed;
  }

  private queryFor({
    not,
    only,
  }: VersionConstraint): Omit<PoolQuery, 'excluded'> {
    const { expectedOutputTokens, group, homes, request } = this.options;
    const { promptParts, usage } = request.metadata;
    return {
      group,
      promptParts,
      promptTokens: usage?.promptTokens ?? 0,
      mayTransferPrompt: this.mayTransferPrompt(),
      ...(expectedOutputTokens !== undefined && { expectedOutputTokens }),
      ...(only === undefined ? {} : { onlyVersion: only }),
      ...(not === undefined ? {} : { notVersion: not }),
      ...(homes && { allowedDataCentres: homes.endpointDataCentres }),
    };
  }
}
