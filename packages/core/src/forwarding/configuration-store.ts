import type { Workspace } from '../ports/index.js';
import type {
  Configuration,
  ForwardRoute,
  ForwardWorkspace,
} from './configuration.js';
import { RouteTable } from './route-table.js';

/** Current configuration of this daemon. Its version never decreases. */
export class ConfigurationStore {
  private configuration: Configuration | undefined;
  private routeTable = new RouteTable([]);
  private workspacesByKey = new Map<string, ForwardWorkspace>();

  get current(): Configuration | undefined {
    return this.configuration;
  }

  /** Current version; 0 if no configuration is loaded. */
  get version(): number {
    return this.configuration?.version ?? 0;
  }

  /** Replaces the current configuration; returns false if the new one is not newer. */
  apply(next: Configuration): boolean {
    if (next.version <= this.version) return false;
    // What can throw comes first, so that a malformed one changes nothing.
    const routeTable = new RouteTable(next.routes);
    const workspaces = next.workspaces ?? [];
    const workspacesByKey = new Map(
      workspaces.flatMap(workspace =>
        workspace.apiKeys.map(key => [key, workspace] as const),
      ),
    );
    this.configuration = next;
    this.routeTable = routeTable;
    this.workspacesByKey = workspacesByKey;
    return true;
  }

  findRoute(host: string, target: string): ForwardRoute | undefined {
    return this.routeTable.find(host, target);
  }

  findWorkspace(workspace: Workspace): ForwardWorkspace | undefined {
    return this.configuration?.workspaces?.find(
      each => each.workspace === workspace,
    );
  }

  findByKey(apiKey: string): ForwardWorkspace | undefined {
    return this.workspacesByKey.get(apiKey);
  }
}
