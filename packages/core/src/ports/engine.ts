import type { Address } from './topology.js';

/** Scheduling priority of a request at an engine. */
export enum Priority {
  Lookup = 'lookup',
  Standard = 'standard',
  Draft = 'draft',
}

/** One message of a chat prompt. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/** Request to generate an answer, or the rest of one. */
export interface GenerateRequest {
  /** Id of the attempt at the engine, by which it is resumed and cancelled. */
  readonly streamId: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Text that the caller has received already; generation continues after it. */
  readonly sentText: string;
  /** Number of tokens in `sentText`, as counted by the attempt that generated them. */
  readonly sentTokens: number;
  readonly priority: Priority;
  readonly deadlineAtMs: number;
}

/** Request to resume the output of a running stream. */
export interface ResumeRequest {
  readonly streamId: string;
  /** Index of the first token to send, counted from the start of the whole answer. */
  readonly fromToken: number;
  readonly deadlineAtMs: number;
}

/** Reason why generation ended. */
export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
}

export enum EngineEventKind {
  Chunk = 'chunk',
  Finish = 'finish',
}

/** Stream event with the text of one or more tokens. */
export interface EngineChunk {
  readonly kind: EngineEventKind.Chunk;
  readonly streamId: string;
  /** Index of the first token, counted from the start of the whole answer. */
  readonly tokenOffset: number;
  readonly tokens: number;
  readonly text: string;
}

/** Last event of a stream. */
export interface EngineFinish {
  readonly kind: EngineEventKind.Finish;
  readonly streamId: string;
  readonly reason: FinishReason;
  /** Number of tokens in the whole answer; distinguishes a late chunk from a lost one. */
  readonly totalTokens: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

export type EngineEvent = EngineChunk | EngineFinish;

/** Load of one engine at `reportedAtMs`, which may be out of date. */
export interface LoadReport {
  readonly reportedAtMs: number;
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly queuedPrefillTokens: number;
  readonly decodingTokensLeft: number;
  readonly cacheUsedTokens: number;
  readonly cacheLimitTokens: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  readonly leaving: boolean;
}

/** Kind of change of a prefix cache. */
export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
  /** Earlier events were lost, so the known state of the cache is stale. */
  Gap = 'gap',
}

/** Change of the prefix cache of an engine. Each block is identified by a hash chained over its prefix. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: CacheEventKind;
  readonly blockHashes: readonly string[];
}

/** Kind of command to an engine. */
export enum EngineOrderKind {
  LoadModel = 'loadModel',
  LoadAdapter = 'loadAdapter',
  LoadVersion = 'loadVersion',
  ChangeRole = 'changeRole',
}

/** Command to an engine, called an order in messages and logs. */
export interface EngineOrder {
  readonly orderId: string;
  readonly kind: EngineOrderKind;
  readonly target: string;
  /** Fencing token of the sender; engines reject commands with a lower token than they have seen. */
  readonly fencingNumber: number;
  readonly deadlineAtMs: number;
}

/** Result of a command to an engine. */
export enum OrderOutcome {
  Accepted = 'accepted',
  /** Rejected, because the engine has seen a higher fencing token. */
  Fenced = 'fenced',
}

/** Models, adapters, versions and role of an engine, and the commands that it has carried out. */
export interface EngineInventory {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly versions: readonly string[];
  readonly role: string;
  readonly orderIds: readonly string[];
}

/**
 * Client of the model engines. Streams throw `NotSentError`, `RefusedError`,
 * `StreamBrokenError` or `NotFoundError`. A stream ends without error only after
 * its finish event.
 */
export interface EngineClient {
  generate(
    address: Address,
    request: GenerateRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineEvent>;
  resume(
    address: Address,
    request: ResumeRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineEvent>;
  cancel(
    address: Address,
    streamId: string,
    deadlineAtMs: number,
  ): Promise<void>;
  /** Reads the load of an engine. */
  load(address: Address, deadlineAtMs: number): Promise<LoadReport>;
  /** Returns the changes of the prefix cache after a sequence number. */
  cacheEvents(
    address: Address,
    afterSequence: number,
    deadlineAtMs: number,
  ): Promise<readonly CacheEvent[]>;
  /** Copies the KV cache of a stream from one engine to another. */
  moveCache(
    from: Address,
    to: Address,
    streamId: string,
    deadlineAtMs: number,
  ): Promise<void>;
  /** Sends a command to an engine. */
  order(address: Address, order: EngineOrder): Promise<OrderOutcome>;
  /** Reads what an engine has loaded. */
  inventory(address: Address, deadlineAtMs: number): Promise<EngineInventory>;
}
