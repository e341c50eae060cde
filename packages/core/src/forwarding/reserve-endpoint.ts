import type { PoolQuery, PoolReservation } from './endpoint-pool.js';
import type { RequestMetadata } from './forward-request.js';
import type { ForwarderDependencies } from './forwarder.js';

export interface EndpointQuery {
  readonly group: string;
  readonly metadata: RequestMetadata;
  /** Endpoints that were tried. */
  readonly excluded: ReadonlySet<string>;
  /** Endpoints that the request must not be sent to again. */
  readonly barred: ReadonlySet<string>;
}

/** Reserves an endpoint that was not tried, or any that is not barred if all were tried. */
export function reserveEndpoint(
  {
    clock,
    pool,
    versions,
  }: Pick<ForwarderDependencies, 'clock' | 'pool' | 'versions'>,
  { barred, excluded, group, metadata }: EndpointQuery,
): PoolReservation | undefined {
  const isFirst = excluded.size === 0;
  const rule = isFirst
    ? versions.choose(group)
    : versions.chooseForRetry(group);
  const query: PoolQuery = {
    group,
    excluded,
    promptParts: metadata.promptParts,
    promptTokens: metadata.usage?.promptTokens ?? 0,
    ...(rule.only === undefined ? {} : { onlyVersion: rule.only }),
    ...(rule.not === undefined ? {} : { notVersion: rule.not }),
  };
  const nowMs = clock.nowMs();
  const reserved =
    pool.reserve(query, nowMs) ??
    (isFirst ? undefined : pool.reserve({ ...query, excluded: barred }, nowMs));
  if (reserved !== undefined || rule.only === undefined) return reserved;
  // The version on trial has no usable endpoint; fall back to any other version.
  const { onlyVersion, ...rest } = query;
  return pool.reserve({ ...rest, notVersion: onlyVersion ?? '' }, nowMs);
}
