import { LogComponent } from '../ports/index.js';
import type { StreamTarget } from './answer-start.js';
import type { PipelineDependencies } from './pipeline-dependencies.js';

const CANCEL_TIMEOUT_MS = 1_000;

/** Asks an engine, without waiting, to stop a stream that is no longer needed. A failure is only logged. */
export function cancelStream(
  {
    clock,
    engine,
    log,
  }: Pick<PipelineDependencies, 'clock' | 'engine' | 'log'>,
  { address, streamId }: StreamTarget,
): void {
  const deadlineAtMs = clock.nowMs() + CANCEL_TIMEOUT_MS;
  engine.cancel(address, streamId, deadlineAtMs).catch((error: unknown) => {
    log.warn(
      LogComponent.Pipeline,
      'A stream could not be cancelled and may still be running.',
      {
        streamId,
        error: String(error),
      },
    );
  });
}
