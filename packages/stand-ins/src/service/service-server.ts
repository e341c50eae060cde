import { setTimeout as delay } from 'node:timers/promises';

import type { Address } from '@skylarkreach/core/ports';
import type { HttpExchange } from '@skylarkreach/daemon';
import { HttpRouter } from '@skylarkreach/daemon';

import { readText, sendJson, StandInServer } from '../http/index.js';
import type { PlainService } from './plain-service.js';

/** HTTP server of a plain service, with a route that returns the outcome of an idempotency key. */
export class ServiceServer {
  private readonly server: StandInServer;

  constructor(
    address: Address,
    private readonly service: PlainService,
  ) {
    const router = new HttpRouter()
      .add('GET', '/v1/outcomes/{key}', ({ params, response }) => {
        sendJson(response, 200, service.outcome(params.key ?? ''));
        return Promise.resolve();
      })
      .add('*', '/{path+}', exchange => this.call(exchange));
    this.server = new StandInServer(address, router);
  }

  /** Starts listening and returns the bound address. */
  listen(): Promise<Address> {
    return this.server.listen();
  }

  /** Closes the server and its open connections immediately. */
  destroy(): void {
    this.server.destroy();
  }

  private async call(exchange: HttpExchange): Promise<void> {
    const { request, response, url } = exchange;
    const key = request.headers['idempotency-key'];
    const { isResponseLost, response: serviceResponse } = this.service.call({
      method: request.method ?? 'GET',
      path: `${url.pathname}${url.search}`,
      contentType: request.headers['content-type'] ?? '',
      body: await readText(request),
      idempotencyKey: typeof key === 'string' ? key : undefined,
    });
    const { responseDelayMs } = this.service.options;
    if (responseDelayMs > 0) await delay(responseDelayMs);
    if (isResponseLost) {
      response.destroy();
      return;
    }
    response.writeHead(serviceResponse.status, {
      'content-type': serviceResponse.contentType,
    });
    response.end(serviceResponse.body);
  }
}
