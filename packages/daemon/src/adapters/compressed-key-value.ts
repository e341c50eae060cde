import { brotliCompressSync, brotliDecompressSync, constants } from 'node:zlib';

import type {
  KeyValueEntry,
  KeyValueStore,
  Lease,
  LeaseRequest,
  Log,
  PutRequest,
  PutResult,
  WatchRequest,
  WatchResult,
} from '@skylarkreach/core/ports';
import { LogComponent, MAX_VALUE_BYTES } from '@skylarkreach/core/ports';

/** Prefix of a compressed value; Base64 data follows. */
const COMPRESSED_PREFIX = 'brotli:';
/** Smallest value in bytes that is compressed. */
const MIN_COMPRESSED_BYTES = 1_024; // a smaller value fits into one network packet anyway
/** Brotli quality, from 0 to 11. */
const BROTLI_QUALITY = 5; // compresses 18 KB in about a millisecond

/**
 * Key-value store that compresses large values before writing them, to reduce
 * the traffic of the watches that return them. Returns values that were stored
 * without compression unchanged.
 */
export class CompressedKeyValue implements KeyValueStore {
  constructor(
    private readonly store: KeyValueStore,
    private readonly log: Log,
  ) {}

  async get(
    key: string,
    deadlineAtMs: number,
  ): Promise<KeyValueEntry | undefined> {
    const entry = await this.store.get(key, deadlineAtMs);
    return entry === undefined ? undefined : this.decompress(entry);
  }

  async list(
    prefix: string,
    deadlineAtMs: number,
  ): Promise<readonly KeyValueEntry[]> {
    const entries = await this.store.list(prefix, deadlineAtMs);
    return entries.map(entry => this.decompress(entry));
  }

  put(request: PutRequest): Promise<PutResult> {
    return this.store.put({ ...request, value: compress(request.value) });
  }

  async watch(request: WatchRequest): Promise<WatchResult> {
    const { entries, revision } = await this.store.watch(request);
    return { revision, entries: entries.map(entry => this.decompress(entry)) };
  }

  acquireLease(request: LeaseRequest): Promise<Lease | undefined> {
    return this.store.acquireLease(request);
  }

  releaseLease(lease: Lease, deadlineAtMs: number): Promise<void> {
    return this.store.releaseLease(lease, deadlineAtMs);
  }

  /** Returns the entry with its value decompressed, or unchanged if that fails; its reader then rejects the stored value. */
  private decompress(entry: KeyValueEntry): KeyValueEntry {
    if (!entry.value.startsWith(COMPRESSED_PREFIX)) return entry;
    try {
      const compressed = Buffer.from(
        entry.value.slice(COMPRESSED_PREFIX.length),
        'base64',
      );
      const value = brotliDecompressSync(compressed, {
        maxOutputLength: MAX_VALUE_BYTES,
      });
      return { ...entry, value: value.toString('utf8') };
    } catch (error) {
      this.log.warn(
        LogComponent.Configuration,
        'A stored value could not be decompressed.',
        {
          key: entry.key,
          version: entry.version,
          error: String(error),
        },
      );
      return entry;
    }
  }
}

/**
 * Compresses a value within the size limits. A value that begins with the prefix
 * is always compressed, because it would be decompressed on reading.
 */
function compress(value: string): string {
  const bytes = Buffer.byteLength(value);
  const hasPrefix = value.startsWith(COMPRESSED_PREFIX);
  const isCompressible =
    bytes >= MIN_COMPRESSED_BYTES && bytes <= MAX_VALUE_BYTES;
  if (!isCompressible && !hasPrefix) return value;
  const compressed = brotliCompressSync(value, {
    params: { [constants.BROTLI_PARAM_QUALITY]: BROTLI_QUALITY },
  });
  return `${COMPRESSED_PREFIX}${compressed.toString('base64')}`;
}
