import type { DestinationStream, Logger } from 'pino';
import { destination, pino } from 'pino';

import type { Log, LogComponent, LogFields } from '@skylarkreach/core/ports';

import type { LogLevel } from '../settings/index.js';

const STDOUT_FD = 1;
/** Buffer size for a slow reader of the output; lines are dropped once it is full. */
const MAX_BUFFERED_BYTES = 1_048_576; // about 3,000 lines

/** Log that writes JSON lines with pino. Each message is prefixed with the name of its part. */
export class PinoLog implements Log {
  private readonly logger: Logger;

  constructor(level: LogLevel, daemonId: string, stream?: DestinationStream) {
    const options = { level, base: { daemonId } };
    this.logger = stream === undefined ? pino(options) : pino(options, stream);
  }

  info(part: LogComponent, message: string, fields: LogFields = {}): void {
    this.logger.info(fields, `${part}: ${message}`);
  }

  warn(part: LogComponent, message: string, fields: LogFields = {}): void {
    this.logger.warn(fields, `${part}: ${message}`);
  }

  error(part: LogComponent, message: string, fields: LogFields = {}): void {
    this.logger.error(fields, `${part}: ${message}`);
  }
}

/**
 * Returns a standard output stream that never blocks. Lines are dropped where the
 * reader is too slow, or nothing can be written.
 */
export function createNonBlockingOutput(
  fd = STDOUT_FD,
): ReturnType<typeof destination> {
  const output = destination({
    dest: fd,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let hasFailed = false;
  output.on('error', () => {
    hasFailed = true;
  });
  output.on('write', () => {
    hasFailed = false;
  });
  const flushSync = output.flushSync.bind(output);
  // The flush at the end of the process would try again for ever.
  output.flushSync = () => {
    if (!hasFailed) flushSync();
  };
  return output;
}
