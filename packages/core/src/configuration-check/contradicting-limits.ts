import type {
  Configuration,
  ForwardGroup,
  ForwardRoute,
} from '../forwarding/index.js';
import type { ConfigurationFinding } from './finding.js';
import { ConfigurationSection, quoteName } from './finding.js';

/** Returns the limits of a configuration that cannot all take effect. */
export function findContradictingLimits(
  configuration: Configuration,
): readonly ConfigurationFinding[] {
  return [
    ...configuration.routes.flatMap(findTimeouts),
    ...findAttempts(configuration),
    ...configuration.groups.flatMap(findSizes),
    ...findCallerTimeouts(configuration),
    ...findBursts(configuration),
  ];
}

function findTimeouts(
  { latencyObjectiveMs, maxGapMs, name, timeoutMs }: ForwardRoute,
  index: number,
): readonly ConfigurationFinding[] {
  const section = ConfigurationSection.Routes;
  const findings: ConfigurationFinding[] = [];
  if (timeoutMs <= latencyObjectiveMs) {
    findings.push({
      place: { section, index, field: 'timeoutMs' },
      message: `The time-out of route ${quoteName(name)}, ${timeoutMs} ms, is not above its latency objective, ${latencyObjectiveMs} ms.`,
      remedy: 'Raise the time-out, or lower the objective.',
    });
  }
  if (maxGapMs !== undefined && maxGapMs > timeoutMs) {
    findings.push({
      place: { section, index, field: 'maxGapMs' },
      message: `The gap of route ${quoteName(name)}, ${maxGapMs} ms, is above its time-out, ${timeoutMs} ms.`,
      remedy: 'Lower the gap, or raise the time-out.',
    });
  }
  return findings;
}

/** Compares attempts with each target alone, since all attempts of a request go to one group. */
function findAttempts({
  groups,
  routes,
}: Configuration): readonly ConfigurationFinding[] {
  const groupsByName = new Map(groups.map(group => [group.name, group]));
  return routes.flatMap(({ maxAttempts, name, targets }, index) =>
    targets.flatMap(({ group }) => {
      const maxEndpoints = endpointBound(groupsByName.get(group));
      if (maxEndpoints === undefined || maxAttempts <= maxEndpoints) return [];
      return {
        place: {
          section: ConfigurationSection.Routes,
          index,
          field: 'maxAttempts' as const,
        },
        message: `Route ${quoteName(name)} allows ${maxAttempts} attempts, but service ${quoteName(group)} has at most ${maxEndpoints} endpoints.`,
        remedy: 'Lower the attempts, or raise the maximum size of the service.',
      };
    }),
  );
}

/** Returns how many endpoints a group may have in all data centres that have a price; undefined if it is not bounded. */
function endpointBound(group: ForwardGroup | undefined): number | undefined {
  if (group?.scaling === undefined) return undefined;
  const { maxEndpoints, pricesByDataCentre } = group.scaling;
  const dataCentreCount = Object.keys(pricesByDataCentre).length;
  return dataCentreCount === 0 ? undefined : maxEndpoints * dataCentreCount;
}

function findSizes(
  { name, scaling }: ForwardGroup,
  index: number,
): readonly ConfigurationFinding[] {
  if (scaling === undefined || scaling.minEndpoints <= scaling.maxEndpoints) {
    return [];
  }
  const section = ConfigurationSection.Groups;
  return [
    {
      place: { section, index, field: 'minEndpoints' },
      message: `The minimum size of service ${quoteName(name)}, ${scaling.minEndpoints}, is above its maximum size, ${scaling.maxEndpoints}.`,
      remedy: 'Lower the minimum, or raise the maximum.',
    },
  ];
}

function findCallerTimeouts({
  limits: { headerTimeoutMs, idleTimeoutMs },
}: Configuration): readonly ConfigurationFinding[] {
  if (headerTimeoutMs <= idleTimeoutMs) return [];
  const section = ConfigurationSection.Limits;
  return [
    {
      place: { section, field: 'headerTimeoutMs' },
      message: `The header time-out, ${headerTimeoutMs} ms, is above the idle time-out, ${idleTimeoutMs} ms.`,
      remedy: 'Lower the header time-out, or raise the idle time-out.',
    },
  ];
}

/**
 * Compares bursts with what a request without stated usage is charged. The size
 * of the body is not compared, since no tokens are charged for bytes.
 */
function findBursts({
  workspaces = [],
}: Configuration): readonly ConfigurationFinding[] {
  return workspaces.flatMap(({ tokenRate, workspace }, index) => {
    if (tokenRate === undefined) return [];
    const { burstTokens, plainTokens } = tokenRate;
    if (burstTokens > 0 && burstTokens >= plainTokens) return [];
    return {
      place: {
        section: ConfigurationSection.Workspaces,
        index,
        field: 'burstTokens' as const,
      },
      message: `The burst of workspace ${quoteName(workspace)}, ${burstTokens} tokens, is smaller than one request (${Math.max(1, plainTokens)} tokens).`,
      remedy: 'Raise the burst.',
    };
  });
}
