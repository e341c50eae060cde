import type { Log } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import type { EndpointRecord } from './endpoint-record.js';
import type { AttemptOutcome } from './forward-attempt.js';
import { PromptEffect } from './forward-attempt.js';
import type { ForwardRequest } from './forward-request.js';
import type { Upstream } from './upstream.js';

export interface CrashDetectorDependencies {
  readonly log: Log;
  readonly upstream: Upstream;
}

/** Tells endpoints that crashed under a request from those that only lost its response. */
export class CrashDetector {
  constructor(private readonly deps: CrashDetectorDependencies) {}

  /** Logs the endpoint's crash if it had begun to respond to the attempt and accepts no connections now. */
  async inspect(
    { metadata, requestId }: ForwardRequest,
    endpoint: EndpointRecord,
    { promptEffect }: AttemptOutcome,
  ): Promise<void> {
    if (metadata.promptParts.length === 0) return;
    if (promptEffect !== PromptEffect.MayHaveCrashed) return;
    const { log, upstream } = this.deps;
    if (!(await upstream.refusesConnections(endpoint))) return;
    log.warn(LogComponent.Routing, 'An endpoint has crashed under a request.', {
      requestId,
      endpoint: endpoint.id,
      partIds: metadata.promptParts.map(part => part.id).join(','),
    });
  }
}
