import type { RequestName, RequestRecord } from './request-record.js';

/** Most characters of text that the store holds before it drops the oldest records. */
const DEFAULT_LIMIT_CHARACTERS = 32_000_000;

/** Records of requests that another daemon handed off or that ended here, kept until their deadline. */
export class RecordStore {
  /** Oldest first. */
  private readonly records = new Map<string, RequestRecord>();
  private characters = 0;

  constructor(private readonly limitCharacters = DEFAULT_LIMIT_CHARACTERS) {}

  get size(): number {
    return this.records.size;
  }

  /** Keeps a record, unless a later one of the same request is held; false where it is not kept. */
  put(record: RequestRecord, nowMs: number): boolean {
    this.dropExpired(nowMs);
    const key = keyOf(record.work);
    const known = this.records.get(key);
    if (record.work.deadlineAtMs <= nowMs) return false;
    if (known !== undefined && isLater(known, record)) return false;
    this.drop(key);
    this.records.set(key, record);
    this.characters += charactersOf(record);
    this.dropOverLimit();
    return this.records.has(key);
  }

  find(name: RequestName, nowMs: number): RequestRecord | undefined {
    const record = this.records.get(keyOf(name));
    return record === undefined || record.work.deadlineAtMs <= nowMs
      ? undefined
      : record;
  }

  remove(name: RequestName): void {
    this.drop(keyOf(name));
  }

  private dropExpired(nowMs: number): void {
    for (const [key, record] of this.records) {
      if (record.work.deadlineAtMs <= nowMs) this.drop(key);
    }
  }

  private dropOverLimit(): void {
    for (const key of this.records.keys()) {
      if (this.characters <= this.limitCharacters) return;
      this.drop(key);
    }
  }

  private drop(key: string): void {
    const record = this.records.get(key);
    if (record === undefined) return;
    this.records.delete(key);
    this.characters -= charactersOf(record);
  }
}

/** Key of a request in a map. */
export function keyOf(name: RequestName): string {
  return JSON.stringify([name.workspace, name.requestId]);
}

/** Whether two records ask for the same work, as a caller's resend does. */
export function isSameWork(left: RequestRecord, right: RequestRecord): boolean {
  return (
    JSON.stringify(left.work.messages) ===
      JSON.stringify(right.work.messages) &&
    left.work.maxTokens === right.work.maxTokens
  );
}

function isLater(known: RequestRecord, other: RequestRecord): boolean {
  return isSameWork(known, other) && known.tokens > other.tokens;
}

function charactersOf(record: RequestRecord): number {
  const prompt = record.work.messages.reduce(
    (total, message) => total + message.content.length,
    0,
  );
  return prompt + record.text.length;
}
