import type { IncomingMessage, ServerResponse } from 'node:http';

/** HTTP request and its response, with the parsed URL and route parameters. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Values of the route parameters, URL-decoded. */
  readonly params: Readonly<Record<string, string>>;
}

export type HttpHandler = (exchange: HttpExchange) => Promise<void>;

interface Route {
  readonly method: string;
  readonly pattern: RegExp;
  readonly handler: HttpHandler;
}

/** Base of the targets of requests, which are paths. */
const BASE_URL = 'http://localhost';

/** Router that finds the handler of a request by method and path. */
export class HttpRouter {
  private readonly routes: Route[] = [];

  /** Adds a route. `{name}` in the path matches one segment, `{name+}` the rest of the path; method `*` matches all methods. */
  add(method: string, path: string, handler: HttpHandler): this {
    const source = path
      .replace(/\{(\w+)\}/g, '(?<$1>[^/]+)')
      .replace(/\{(\w+)\+\}/g, '(?<$1>.*)');
    this.routes.push({ method, pattern: new RegExp(`^${source}$`), handler });
    return this;
  }

  /** Returns the handler bound to its exchange, or undefined if no route matches or the target is no URL. */
  find(
    request: IncomingMessage,
    response: ServerResponse,
  ): (() => Promise<void>) | undefined {
    const target = request.url ?? '/';
    if (!URL.canParse(target, BASE_URL)) return undefined;
    const url = new URL(target, BASE_URL);
    for (const route of this.routes) {
      const match = route.pattern.exec(url.pathname);
      if (match === null || !this.acceptsMethod(route, request)) continue;
      const params = decodeGroups(match.groups ?? {});
      if (params === undefined) return undefined;
      return () => route.handler({ request, response, url, params });
    }
    return undefined;
  }

  private acceptsMethod(route: Route, request: IncomingMessage): boolean {
    return route.method === '*' || route.method === request.method;
  }
}

function decodeGroups(
  groups: Record<string, string>,
): Record<string, string> | undefined {
  try {
    return Object.fromEntries(
      Object.entries(groups).map(([name, value]) => [
        name,
        decodeURIComponent(value),
      ]),
    );
  } catch {
    return undefined;
  }
}
