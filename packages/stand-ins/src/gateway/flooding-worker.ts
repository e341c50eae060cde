import { parentPort, workerData } from 'node:worker_threads';

import type { Flood } from '@skylarkreach/platform/stand-ins';
import { FloodingEndpoint } from '@skylarkreach/platform/stand-ins';

// Posts the address of a flooding endpoint, which runs beside the callers of a test instead of delaying them.
parentPort?.postMessage(
  await new FloodingEndpoint(workerData as Flood).listen(),
);
