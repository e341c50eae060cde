import { z } from 'zod';

import type { Address, Cloud } from '@skylarkreach/core/ports';
import { InstanceBilling } from '@skylarkreach/core/ports';
import { HttpRouter } from '@skylarkreach/daemon';

import { readText, sendJson, StandInServer } from '../http/index.js';

const CALL_TIMEOUT_MS = 5_000;

const startSchema = z.object({
  machineClass: z.string(),
  dataCentre: z.string(),
  billing: z.enum(InstanceBilling),
  clientToken: z.string(),
  deadlineAtMs: z.number(),
});

/** Serves a cloud over HTTP, in place of the platform's API. */
export class CloudServer {
  private readonly server: StandInServer;

  constructor(address: Address, cloud: Cloud) {
    const router = new HttpRouter()
      .add('GET', '/v1/listing', async ({ response }) => {
        sendJson(response, 200, await cloud.list(callDeadline()));
      })
      .add('GET', '/v1/prices', async ({ response }) => {
        const prices = await cloud.prices(callDeadline());
        sendJson(response, 200, { prices });
      })
      .add('GET', '/v1/reclaim-notices', async ({ response }) => {
        const notices = await cloud.reclaimNotices(callDeadline());
        sendJson(response, 200, { notices });
      })
      .add('POST', '/v1/instances', async ({ request, response }) => {
        const start = startSchema.parse(JSON.parse(await readText(request)));
        sendJson(response, 200, await cloud.start(start));
      })
      .add('DELETE', '/v1/instances/{id}', async ({ params, response }) => {
        await cloud.stop(params.id ?? '', callDeadline());
        sendJson(response, 200, {});
      });
    this.server = new StandInServer(address, router);
  }

  listen(): Promise<Address> {
    return this.server.listen();
  }

  destroy(): void {
    this.server.destroy();
  }
}

function callDeadline(): number {
  return Date.now() + CALL_TIMEOUT_MS;
}
