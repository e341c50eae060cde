import { readFileSync } from 'node:fs';

import type { GatewaySettings } from './gateway-settings.js';
import { parseAnySettings } from './load-settings.js';
import { SettingsError } from './settings-error.js';

/** Time between two looks at the file, which may change without a signal. */
const CHECK_INTERVAL_MS = 5_000;

export interface SettingsListener {
  /** The file has other settings than before. */
  onChange(settings: GatewaySettings): void;
  /** The file cannot be used; the last good settings stay. */
  onFault(message: string): void;
}

/** Follows the settings file of a gateway. */
export class SettingsFollower {
  private lastText: string | undefined;
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly file: string,
    private readonly listener: SettingsListener,
  ) {
    this.lastText = this.read();
    this.timer = setInterval(() => {
      this.check();
    }, CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Reads the file and reports a change. */
  check(): void {
    const text = this.read();
    if (text === undefined || text === this.lastText) return;
    this.lastText = text;
    try {
      const settings = parseAnySettings(this.file, text);
      if ('gateway' in settings) this.listener.onChange(settings.gateway);
      else this.listener.onFault('The file is not for a gateway any more.');
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      this.listener.onFault(error.message);
    }
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private read(): string | undefined {
    try {
      return readFileSync(this.file, 'utf8');
    } catch (error) {
      this.listener.onFault(`The file cannot be read (${String(error)}).`);
      return undefined;
    }
  }
}
