import { readFileSync } from 'node:fs';

import type { GatewaySettings } from './gateway-settings.js';
import { parseAnySettings } from './load-settings.js';
import { SettingsError } from './settings-error.js';

/** Interval of the checks for a change, since the file may change without a SIGHUP. */
const POLL_INTERVAL_MS = 5_000;

/** Callbacks of a settings watcher. */
export interface SettingsListener {
  /** Called with the new settings after the file has changed. */
  onChange(settings: GatewaySettings): void;
  /** Called where the file cannot be read or is invalid; the last valid settings stay in force. */
  onError(message: string): void;
}

/** Watches the settings file of a gateway for changes. */
export class SettingsWatcher {
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly file: string,
    /** Text of the file that the settings in force were read from, then the last one that was looked at. */
    private lastText: string,
    private readonly listener: SettingsListener,
  ) {
    this.timer = setInterval(() => {
      this.check();
    }, POLL_INTERVAL_MS);
    this.timer.unref();
  }

  /** Reads the file and notifies the listener where its text has changed. */
  check(): void {
    const text = this.read();
    if (text === undefined || text === this.lastText) return;
    this.lastText = text;
    try {
      const settings = parseAnySettings(this.file, text);
      if ('gateway' in settings) this.listener.onChange(settings.gateway);
      else this.listener.onError('The file no longer has a gateway section.');
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      this.listener.onError(error.message);
    }
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private read(): string | undefined {
    try {
      return readFileSync(this.file, 'utf8');
    } catch (error) {
      this.listener.onError(`The file cannot be read (${String(error)}).`);
      return undefined;
    }
  }
}
