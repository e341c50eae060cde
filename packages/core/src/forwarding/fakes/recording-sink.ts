import type { RawHeaders } from '../index.js';
import type { ResponseWriter } from '../index.js';

/** Fake sink that records the response sent to a caller. */
export class RecordingSink implements ResponseWriter {
  status: number | undefined;
  headers: RawHeaders = [];
  text = '';
  isEnded = false;
  isDestroyed = false;
  /** Resolves once the caller's connection accepts more data. */
  drained: Promise<void> = Promise.resolve();

  begin(status: number, headers: RawHeaders): void {
    this.status = status;
    this.headers = headers;
  }

  write(bytes: Uint8Array): Promise<void> {
    this.text += Buffer.from(bytes).toString('utf8');
    return this.drained;
  }

  end(): void {
    this.isEnded = true;
  }

  destroy(): void {
    this.isDestroyed = true;
  }
}
