import type { ForwardRoute } from './configuration.js';

/** Lookup table of routes by host and longest matching path prefix. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, ForwardRoute>>();

  constructor(routes: readonly ForwardRoute[]) {
    for (const route of routes) {
      const prefixes =
        this.byHost.get(route.host) ?? new Map<string, ForwardRoute>();
      prefixes.set(route.pathPrefix, route);
      this.byHost.set(route.host, prefixes);
    }
  }

  /** Returns the matching route. `host` may include a port, `target` a query. */
  find(host: string, target: string): ForwardRoute | undefined {
    const prefixes = this.byHost.get(hostName(host));
    if (prefixes === undefined) return undefined;
    const path = target.split('?', 1)[0] ?? '';
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}
