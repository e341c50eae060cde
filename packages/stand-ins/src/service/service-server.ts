import { setTimeout as delay } from 'node:timers/promises';

import type { Address } from '@skylarkreach/core/ports';
import type { HttpExchange } from '@skylarkreach/daemon';
import { HttpRouter } from '@skylarkreach/daemon';

import { readText, sendJson, StandInServer } from '../http/index.js';
import type { PlainService } from './plain-service.js';

/** Serves a plain service over HTTP. */
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

  listen(): Promise<Address> {
    return this.server.listen();
  }

  destroy(): void {
    this.server.destroy();
  }

  private async call(exchange: HttpExchange): Promise<void> {
    const { request, response, url } = exchange;
    const key = request.headers['idempotency-key'];
    const { isLost, response: answer } = this.service.call({
      method: request.method ?? 'GET',
      path: `${url.pathname}${url.search}`,
      contentType: request.headers['content-type'] ?? '',
      body: await readText(request),
      idempotencyKey: typeof key === 'string' ? key : undefined,
    });
    const { responseDelayMs } = this.service.options;
    if (responseDelayMs > 0) await delay(responseDelayMs);
    if (isLost) {
      response.destroy();
      return;
    }
    response.writeHead(answer.status, { 'content-type': answer.contentType });
    response.end(answer.body);
  }
}
