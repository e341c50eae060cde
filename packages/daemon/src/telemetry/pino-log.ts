import type { DestinationStream, Logger } from 'pino';
import { destination, pino } from 'pino';

import type { Log, LogFields, LogPart } from '@skylarkreach/core/ports';

import type { LogLevel } from '../settings/index.js';

const STANDARD_OUTPUT = 1;
/** Bytes that wait for a slow reader before lines are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576; // some 3,000 lines

/** Log by pino: JSON lines whose message starts with the part's name. */
export class PinoLog implements Log {
  private readonly logger: Logger;

  constructor(level: LogLevel, daemonId: string, stream?: DestinationStream) {
    const options = { level, base: { daemonId } };
    this.logger = stream === undefined ? pino(options) : pino(options, stream);
  }

  info(part: LogPart, message: string, fields: LogFields = {}): void {
    this.logger.info(fields, `${part}: ${message}`);
  }

  warn(part: LogPart, message: string, fields: LogFields = {}): void {
    this.logger.warn(fields, `${part}: ${message}`);
  }

  error(part: LogPart, message: string, fields: LogFields = {}): void {
    this.logger.error(fields, `${part}: ${message}`);
  }
}

/** Standard output that never blocks: lines that a slow reader leaves behind are dropped. */
export function droppingOutput(): DestinationStream {
  return destination({
    dest: STANDARD_OUTPUT,
    sync: false,
    maxLength: MAX_BUFFERED_BYTES,
  });
}
