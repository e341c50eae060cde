import { z } from 'zod';

import type { Address, CloudClient } from '@skylarkreach/core/ports';
import { InstanceBilling } from '@skylarkreach/core/ports';
import { HttpRouter } from '@skylarkreach/daemon';

import { readText, sendJson, StandInServer } from '../http/index.js';

const CALL_TIMEOUT_MS = 5_000;

const startRequestSchema = z.object({
  machineClass: z.string(),
  dataCentre: z.string(),
  billing: z.enum(InstanceBilling),
  clientToken: z.string(),
  deadlineAtMs: z.number(),
});

/** HTTP server that exposes a `Cloud` through the platform's cloud API. */
export class CloudServer {
  private readonly server: StandInServer;

  constructor(address: Address, cloud: CloudClient) {
    const router = new HttpRouter()
      .add('GET', '/v1/listing', async ({ response }) => {
        sendJson(response, 200, await cloud.list(callDeadlineAtMs()));
      })
      .add('GET', '/v1/prices', async ({ response }) => {
        const prices = await cloud.prices(callDeadlineAtMs());
        sendJson(response, 200, { prices });
      })
      .add('GET', '/v1/reclaim-notices', async ({ response }) => {
        const notices = await cloud.reclaimNotices(callDeadlineAtMs());
        sendJson(response, 200, { notices });
      })
      .add('POST', '/v1/instances', async ({ request, response }) => {
        const startRequest = startRequestSchema.parse(
          JSON.parse(await readText(request)),
        );
        sendJson(response, 200, await cloud.start(startRequest));
      })
      .add('DELETE', '/v1/instances/{id}', async ({ params, response }) => {
        await cloud.stop(params.id ?? '', callDeadlineAtMs());
        sendJson(response, 200, {});
      });
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
}

function callDeadlineAtMs(): number {
  return Date.now() + CALL_TIMEOUT_MS;
}
