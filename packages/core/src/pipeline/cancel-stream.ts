import { LogPart } from '../ports/index.js';
import type { StreamTarget } from './answer-start.js';
import type { PipelineParts } from './pipeline-parts.js';

const CANCEL_TIMEOUT_MS = 1_000;

/** Asks an engine to stop work that no one waits for; a failure is only logged. */
export function cancelStream(
  { clock, engine, log }: Pick<PipelineParts, 'clock' | 'engine' | 'log'>,
  { address, streamId }: StreamTarget,
): void {
  const deadlineAtMs = clock.nowMs() + CANCEL_TIMEOUT_MS;
  engine.cancel(address, streamId, deadlineAtMs).catch((error: unknown) => {
    log.warn(LogPart.Pipeline, 'A cancelled stream may still run.', {
      streamId,
      error: String(error),
    });
  });
}
