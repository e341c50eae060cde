import type {
  Configuration,
  ForwardRoute,
  ForwardWorkspace,
} from './configuration.js';
import { RouteTable } from './route-table.js';

/** The configuration in force at this daemon. Its version only rises. */
export class ConfigurationStore {
  private configuration: Configuration | undefined;
  private routeTable = new RouteTable([]);
  private workspacesByKey = new Map<string, ForwardWorkspace>();

  get current(): Configuration | undefined {
    return this.configuration;
  }

  /** Version in force; 0 where none is known. */
  get version(): number {
    return this.configuration?.version ?? 0;
  }

  /** Puts a configuration in force; false where it is not newer than the present one. */
  apply(next: Configuration): boolean {
    if (next.version <= this.version) return false;
    this.configuration = next;
    this.routeTable = new RouteTable(next.routes);
    const workspaces = next.workspaces ?? [];
    this.workspacesByKey = new Map(
      workspaces.flatMap(each => each.apiKeys.map(key => [key, each] as const)),
    );
    return true;
  }

  findRoute(host: string, target: string): ForwardRoute | undefined {
    return this.routeTable.find(host, target);
  }

  findByKey(apiKey: string): ForwardWorkspace | undefined {
    return this.workspacesByKey.get(apiKey);
  }
}
