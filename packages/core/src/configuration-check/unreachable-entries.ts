import type {
  Configuration,
  ForwardRoute,
  Region,
} from '../forwarding/index.js';
import type { ConfigurationFinding } from './finding.js';
import { ConfigurationSection, quoteName } from './finding.js';

/** Returns the entries of a configuration that no request can match. Region names are not checked if `regions` is undefined. */
export function findUnreachableEntries(
  configuration: Configuration,
  regions?: ReadonlySet<Region>,
): readonly ConfigurationFinding[] {
  return [
    ...findReplacedRoutes(configuration.routes),
    ...configuration.routes.flatMap(findUnmatchable),
    ...findMissingGroups(configuration),
    ...findUnusedGroups(configuration),
    ...findKeylessWorkspaces(configuration),
    ...findSharedKeys(configuration),
    ...findUnknownRegions(configuration, regions),
  ];
}

/** Finds routes that `RouteTable` replaces by a later one. */
function findReplacedRoutes(
  routes: readonly ForwardRoute[],
): readonly ConfigurationFinding[] {
  const keyOf = ({ host, pathPrefix }: ForwardRoute) =>
    JSON.stringify([host, pathPrefix]);
  const lastByKey = new Map(routes.map(route => [keyOf(route), route]));
  return routes.flatMap((route, index) => {
    const last = lastByKey.get(keyOf(route));
    if (last === undefined || last === route) return [];
    return {
      place: { section: ConfigurationSection.Routes, index },
      message: `Route ${quoteName(route.name)} never matches: the later route ${quoteName(last.name)} has the same host and path prefix.`,
      remedy: 'Remove one of them, or change its host or path prefix.',
    };
  });
}

/** Finds hosts and prefixes that `RouteTable.find` cannot return. */
function findUnmatchable(
  { host, name, pathPrefix }: ForwardRoute,
  index: number,
): readonly ConfigurationFinding[] {
  const section = ConfigurationSection.Routes;
  const findings: ConfigurationFinding[] = [];
  if (host === '' || /:\d+$/.test(host)) {
    findings.push({
      place: { section, index, field: 'host' },
      message: `Route ${quoteName(name)} never matches: requests are matched by host name without the port.`,
      remedy: 'Write the host name alone.',
    });
  }
  if (!/^\/([^?]*\/)?$/.test(pathPrefix)) {
    findings.push({
      place: { section, index, field: 'pathPrefix' },
      message: `Route ${quoteName(name)} never matches: prefixes are whole path segments without a query.`,
      remedy: 'Begin and end the prefix with a slash.',
    });
  }
  return findings;
}

function findMissingGroups({
  groups,
  routes,
}: Configuration): readonly ConfigurationFinding[] {
  const names = new Set(groups.map(group => group.name));
  const section = ConfigurationSection.Routes;
  return routes.flatMap(({ name, targets }, index) => {
    if (targets.length === 0) {
      return {
        place: { section, index },
        message: `Route ${quoteName(name)} names no service.`,
        remedy: 'Name a service, or remove the route.',
      };
    }
    return targets.flatMap(({ group }, item) =>
      names.has(group)
        ? []
        : {
            place: { section, index, field: 'targets' as const, item },
            message: `Route ${quoteName(name)} names the service ${quoteName(group)}, which does not exist.`,
            remedy: 'Correct the name, or add the service.',
          },
    );
  });
}

function findUnusedGroups({
  groups,
  routes,
}: Configuration): readonly ConfigurationFinding[] {
  const used = new Set(
    routes.flatMap(route => route.targets.map(target => target.group)),
  );
  return groups.flatMap(({ name }, index) =>
    used.has(name)
      ? []
      : {
          place: { section: ConfigurationSection.Groups, index },
          message: `No route names the service ${quoteName(name)}.`,
          remedy: 'Add a route to it, or remove it.',
        },
  );
}

function findKeylessWorkspaces({
  workspaces = [],
}: Configuration): readonly ConfigurationFinding[] {
  return workspaces.flatMap(({ apiKeys, workspace }, index) =>
    apiKeys.length > 0
      ? []
      : {
          place: { section: ConfigurationSection.Workspaces, index },
          message: `Workspace ${quoteName(workspace)} has no API key.`,
          remedy: 'Add a key, or remove the workspace.',
        },
  );
}

/** Finds keys that `ConfigurationStore` assigns to a later workspace. */
function findSharedKeys({
  workspaces = [],
}: Configuration): readonly ConfigurationFinding[] {
  const ownerByKey = new Map(
    workspaces.flatMap((each, owner) => each.apiKeys.map(key => [key, owner])),
  );
  return workspaces.flatMap(({ apiKeys, workspace }, index) =>
    apiKeys.flatMap((key, item) => {
      const owner = workspaces[ownerByKey.get(key) ?? index];
      if (owner === undefined || owner === workspaces[index]) return [];
      return {
        place: {
          section: ConfigurationSection.Workspaces,
          index,
          field: 'apiKeys' as const,
          item,
        },
        message: `A key of workspace ${quoteName(workspace)} also belongs to the later workspace ${quoteName(owner.workspace)}, which gets its requests.`,
        remedy: 'Remove the key from one of them.',
      };
    }),
  );
}

function findUnknownRegions(
  { routes, workspaces = [] }: Configuration,
  regions: ReadonlySet<Region> | undefined,
): readonly ConfigurationFinding[] {
  if (regions === undefined) return [];
  const findIn = (section: ConfigurationSection) =>
    function findInEntry(
      {
        homeRegions = [],
      }: { readonly homeRegions: readonly Region[] | undefined },
      index: number,
    ) {
      return homeRegions.flatMap((region, item) =>
        regions.has(region)
          ? []
          : {
              place: { section, index, field: 'homeRegions' as const, item },
              message: `The home region ${quoteName(region)} contains no data centre.`,
              remedy: `Name one of: ${[...regions].join(', ')}.`,
            },
      );
    };
  return [
    ...routes.flatMap(findIn(ConfigurationSection.Routes)),
    ...workspaces.flatMap(findIn(ConfigurationSection.Workspaces)),
  ];
}
