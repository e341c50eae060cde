import type { ForwardRoute, ForwardWorkspace } from './configuration.js';
import type { ConfigurationStore } from './configuration-store.js';
import { ForwardError, ForwardErrorKind } from './forward-error.js';
import type { RequestMetadata } from './forward-request.js';
import type { Region } from './home-regions.js';
import { combineHomeRegions } from './home-regions.js';

/** Retry delay while a daemon that has just started loads the configuration. */
const CONFIGURATION_RETRY_MS = 500;

/** Route and workspace of a request under the current configuration. */
export interface ResolvedRequest {
  readonly route: ForwardRoute;
  /** Undefined if the route needs no API key. */
  readonly workspace: ForwardWorkspace | undefined;
  /** Version of the configuration used. */
  readonly configurationVersion: number;
  /** Regions to which the request is restricted; undefined if it is not. */
  readonly homeRegions: readonly Region[] | undefined;
}

/** Looks up the route and the workspace of a request. Throws `ForwardError` if either is unknown or no configuration is loaded. */
export function resolveRequest(
  store: ConfigurationStore,
  metadata: RequestMetadata,
  target: string,
): ResolvedRequest {
  const configurationVersion = store.version;
  if (configurationVersion === 0) {
    throw new ForwardError(
      ForwardErrorKind.NoConfiguration,
      'The daemon has not loaded a configuration yet; send the request again.',
      CONFIGURATION_RETRY_MS,
    );
  }
  const route = store.findRoute(metadata.host, target);
  if (route === undefined) {
    throw new ForwardError(
      ForwardErrorKind.UnknownRoute,
      'No route matches this host and path; check both.',
    );
  }
  const needsKey = store.current?.workspaces !== undefined && !route.isPublic;
  if (!needsKey) return resolved(route, undefined, configurationVersion);
  const workspace =
    metadata.apiKey === undefined
      ? undefined
      : store.findByKey(metadata.apiKey);
  if (workspace === undefined) {
    throw new ForwardError(
      ForwardErrorKind.UnknownKey,
      'The API key is unknown; send a valid key.',
    );
  }
  return resolved(route, workspace, configurationVersion);
}

function resolved(
  route: ForwardRoute,
  workspace: ForwardWorkspace | undefined,
  configurationVersion: number,
): ResolvedRequest {
  const homeRegions = combineHomeRegions(
    route.homeRegions,
    workspace?.homeRegions,
  );
  return { route, workspace, configurationVersion, homeRegions };
}
