import type { GatewaySettings } from '../settings/index.js';

/** Sections that are read only at start. */
const START_SECTIONS = [
  'identity',
  'listen',
  'peerSecret',
  'telemetry',
  'routing',
  'fleet',
  'callers',
] as const satisfies readonly (keyof GatewaySettings)[];

/** Bounds that are read at each use; all others are read only at start. */
const LIVE_BOUNDS: ReadonlySet<string> = new Set<
  keyof GatewaySettings['bounds']
>([
  'gracePeriodSeconds',
  'repeatShare',
  'repeatSlack',
  'repeatWindowSeconds',
  'exposureShare',
  'exposureSlack',
  'usageCheckpointSeconds',
]);

/**
 * Applies changed settings to those in force, as far as they are read at each use.
 * Returns the names of the changed ones that are read only at start, which keep
 * their values until a restart.
 */
export function applyChangedSettings(
  inForce: GatewaySettings,
  next: GatewaySettings,
): readonly string[] {
  const sections = START_SECTIONS.filter(
    section => !isEqual(next[section], inForce[section]),
  );
  const { seeds } = next.platform;
  const isPlatformChanged = !isEqual(
    { ...next.platform, seeds },
    { ...inForce.platform, seeds },
  );
  const changedBounds = Object.entries(next.bounds).filter(
    ([name, value]) =>
      new Map(Object.entries(inForce.bounds)).get(name) !== value,
  );
  const isLive = ([name]: readonly [string, unknown]) => LIVE_BOUNDS.has(name);
  const { isEnabled } = inForce.queue;
  inForce.platform.seeds = seeds;
  Object.assign(
    inForce.bounds,
    Object.fromEntries(changedBounds.filter(isLive)),
  );
  Object.assign(inForce.queue, next.queue, { isEnabled });
  return [
    ...sections,
    ...(isPlatformChanged ? ['platform'] : []),
    ...changedBounds
      .filter(bound => !isLive(bound))
      .map(([name]) => `bounds.${name}`),
    ...(next.queue.isEnabled === isEnabled ? [] : ['queue']),
  ];
}

function isEqual(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
