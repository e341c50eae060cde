import type { Logger } from 'pino';
import { pino } from 'pino';

import type { Log, LogFields, LogPart } from '@skylarkreach/core/ports';

import type { LogLevel } from '../settings/index.js';

/** Log by pino: JSON lines whose message starts with the part's name. */
export class PinoLog implements Log {
  private readonly logger: Logger;

  constructor(level: LogLevel, daemonId: string) {
    this.logger = pino({ level, base: { daemonId } });
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
