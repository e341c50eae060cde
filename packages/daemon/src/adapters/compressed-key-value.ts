import { brotliCompressSync, brotliDecompressSync, constants } from 'node:zlib';

import type {
  KeyValue,
  KeyValueEntry,
  Lease,
  LeaseRequest,
  Log,
  PutRequest,
  PutResult,
  WatchRequest,
  WatchResult,
} from '@skylarkreach/core/ports';
import { LogPart, MAX_VALUE_BYTES } from '@skylarkreach/core/ports';

/** Begins a compressed value; Base64 follows. */
const MARK = 'brotli:';
/** Values from here on are compressed. */
const MIN_BYTES = 1_024; // a packet holds less than that anyway
/** Brotli's effort, from 0 to 11. */
const QUALITY = 5; // 18 KB take about a millisecond

/**
 * Keeps large values compressed in the key-value service, so that each watch
 * that returns one costs less. Reads values that are not compressed as they are.
 */
export class CompressedKeyValue implements KeyValue {
  constructor(
    private readonly inner: KeyValue,
    private readonly log: Log,
  ) {}

  async get(
    key: string,
    deadlineAtMs: number,
  ): Promise<KeyValueEntry | undefined> {
    const entry = await this.inner.get(key, deadlineAtMs);
    return entry === undefined ? undefined : this.expand(entry);
  }

  async list(
    prefix: string,
    deadlineAtMs: number,
  ): Promise<readonly KeyValueEntry[]> {
    const entries = await this.inner.list(prefix, deadlineAtMs);
    return entries.map(each => this.expand(each));
  }

  put(request: PutRequest): Promise<PutResult> {
    return this.inner.put({ ...request, value: compress(request.value) });
  }

  async watch(request: WatchRequest): Promise<WatchResult> {
    const { entries, revision } = await this.inner.watch(request);
    return { revision, entries: entries.map(each => this.expand(each)) };
  }

  acquireLease(request: LeaseRequest): Promise<Lease | undefined> {
    return this.inner.acquireLease(request);
  }

  releaseLease(lease: Lease, deadlineAtMs: number): Promise<void> {
    return this.inner.releaseLease(lease, deadlineAtMs);
  }

  /** The entry as it was put. One that cannot be read keeps its stored value, which its reader refuses. */
  private expand(entry: KeyValueEntry): KeyValueEntry {
    if (!entry.value.startsWith(MARK)) return entry;
    try {
      const packed = Buffer.from(entry.value.slice(MARK.length), 'base64');
      const value = brotliDecompressSync(packed, {
        maxOutputLength: MAX_VALUE_BYTES,
      });
      return { ...entry, value: value.toString('utf8') };
    } catch (error) {
      this.log.warn(LogPart.Configuration, 'A stored value is malformed.', {
        key: entry.key,
        version: entry.version,
        error: String(error),
      });
      return entry;
    }
  }
}

function compress(value: string): string {
  const bytes = Buffer.byteLength(value);
  const isMarked = value.startsWith(MARK);
  const isCompressible = bytes >= MIN_BYTES && bytes <= MAX_VALUE_BYTES;
  if (!isCompressible && !isMarked) return value;
  const packed = brotliCompressSync(value, {
    params: { [constants.BROTLI_PARAM_QUALITY]: QUALITY },
  });
  return `${MARK}${packed.toString('base64')}`;
}
