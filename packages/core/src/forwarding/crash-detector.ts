import type { Log } from '../ports/index.js';
import { LogComponent } from '../ports/index.js';
import type { EndpointRecord } from './endpoint-record.js';
import type { AttemptOutcome } from './forward-attempt.js';
import { PromptEffect } from './forward-attempt.js';
import type { ForwardRequest } from './forward-request.js';
import type { PromptGuard } from './prompt-guard.js';
import type { Upstream } from './upstream.js';

export interface CrashDetectorDependencies {
  readonly log: Log;
  readonly upstream: Upstream;
  readonly promptGuard: PromptGuard;
}

/** Tells endpoints that crashed under a request from those that only lost its response. */
export class CrashDetector {
  constructor(private readonly deps: CrashDetectorDependencies) {}

  /**
   * Reports to the guard that the endpoint completed the response, or that it
   * crashed: it had begun to respond and accepts no connections now.
   */
  async inspect(
    { metadata, requestId }: ForwardRequest,
    endpoint: EndpointRecord,
    { promptEffect }: AttemptOutcome,
  ): Promise<void> {
    const { promptParts } = metadata;
    if (promptParts.length === 0) return;
    const { log, promptGuard, upstream } = this.deps;
    if (promptEffect === PromptEffect.Completed)
      promptGuard.recordCompleted(promptParts);
    if (promptEffect !== PromptEffect.MayHaveCrashed) return;
    if (!(await upstream.refusesConnections(endpoint))) return;
    log.warn(LogComponent.Routing, 'An endpoint has crashed under a request.', {
      requestId,
      endpoint: endpoint.id,
      partIds: promptParts.map(part => part.id).join(','),
    });
    promptGuard.recordCrash(endpoint.id, promptParts);
  }
}
