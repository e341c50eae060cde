import type { RequestIdentity, RequestRecord } from './request-record.js';

/** Default maximum number of characters in the store; above it the oldest records are evicted. */
const DEFAULT_MAX_CHARACTERS = 32_000_000;

/** Records of requests that another daemon handed off or that ended at this daemon, kept until their deadline. */
export class RecordStore {
  /** In order of insertion, oldest first. */
  private readonly records = new Map<string, RequestRecord>();
  private totalCharacters = 0;

  constructor(private readonly maxCharacters = DEFAULT_MAX_CHARACTERS) {}

  get size(): number {
    return this.records.size;
  }

  /**
   * Stores a record unless it has expired, is larger than the store or a more advanced
   * one of the same work is stored; returns whether it is stored.
   */
  put(record: RequestRecord, nowMs: number): boolean {
    this.dropExpired(nowMs);
    const key = requestKeyOf(record.work);
    const existing = this.records.get(key);
    if (record.work.deadlineAtMs <= nowMs) return false;
    if (characterCountOf(record) > this.maxCharacters) return false;
    if (existing !== undefined && isMoreAdvanced(existing, record))
      return false;
    this.removeByKey(key);
    this.records.set(key, record);
    this.totalCharacters += characterCountOf(record);
    this.evictOverLimit();
    return true;
  }

  find(request: RequestIdentity, nowMs: number): RequestRecord | undefined {
    const record = this.records.get(requestKeyOf(request));
    return record === undefined || record.work.deadlineAtMs <= nowMs
      ? undefined
      : record;
  }

  remove(request: RequestIdentity): void {
    this.removeByKey(requestKeyOf(request));
  }

  private dropExpired(nowMs: number): void {
    for (const [key, record] of this.records) {
      if (record.work.deadlineAtMs <= nowMs) this.removeByKey(key);
    }
  }

  private evictOverLimit(): void {
    for (const key of this.records.keys()) {
      if (this.totalCharacters <= this.maxCharacters) return;
      this.removeByKey(key);
    }
  }

  private removeByKey(key: string): void {
    const record = this.records.get(key);
    if (record === undefined) return;
    this.records.delete(key);
    this.totalCharacters -= characterCountOf(record);
  }
}

/** Returns the key of a request for use in maps. */
export function requestKeyOf(request: RequestIdentity): string {
  return JSON.stringify([request.workspace, request.requestId]);
}

/** Returns whether two records are of the same work, as those of a caller's retry are. */
export function isSameWork(left: RequestRecord, right: RequestRecord): boolean {
  return (
    JSON.stringify(left.work.messages) ===
      JSON.stringify(right.work.messages) &&
    left.work.maxTokens === right.work.maxTokens
  );
}

function isMoreAdvanced(
  existing: RequestRecord,
  other: RequestRecord,
): boolean {
  return isSameWork(existing, other) && existing.tokens > other.tokens;
}

function characterCountOf(record: RequestRecord): number {
  const prompt = record.work.messages.reduce(
    (total, message) => total + message.content.length,
    0,
  );
  return prompt + record.text.length;
}
