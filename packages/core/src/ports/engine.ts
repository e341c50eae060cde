import type { Address } from './topology.js';

export enum Priority {
  Lookup = 'lookup',
  Standard = 'standard',
  Draft = 'draft',
}

export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

export interface GenerateRequest {
  /** Names the attempt at the engine; resume and cancel refer to it. */
  readonly streamId: string;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxTokens: number;
  /** Text that the caller already has; the engine continues after it. */
  readonly sentText: string;
  /** Tokens of `sentText`, as counted by the attempt that made them. */
  readonly sentTokens: number;
  readonly priority: Priority;
  readonly deadlineAtMs: number;
}

export interface ResumeRequest {
  readonly streamId: string;
  /** First token wanted, counted from the start of the whole answer. */
  readonly fromToken: number;
  readonly deadlineAtMs: number;
}

export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
}

export enum EngineEventKind {
  Chunk = 'chunk',
  Finish = 'finish',
}

/** Text of one or more tokens of the answer. */
export interface EngineChunk {
  readonly kind: EngineEventKind.Chunk;
  readonly streamId: string;
  /** Index of the first token, counted from the start of the whole answer. */
  readonly tokenOffset: number;
  readonly tokens: number;
  readonly text: string;
}

export interface EngineFinish {
  readonly kind: EngineEventKind.Finish;
  readonly streamId: string;
  readonly reason: FinishReason;
  /** Tokens of the whole answer, which tells a late chunk from a lost one. */
  readonly totalTokens: number;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

export type EngineEvent = EngineChunk | EngineFinish;

/** Load of one engine at `reportedAtMs`, which lags behind the present. */
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

export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted',
  /** Events before this one were lost; what is known of the cache is stale. */
  Gap = 'gap',
}

/** Change of an engine's prefix cache. Blocks are named by a hash chained over the prefix. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: CacheEventKind;
  readonly blockHashes: readonly string[];
}

export enum EngineOrderKind {
  LoadModel = 'loadModel',
  LoadAdapter = 'loadAdapter',
  LoadVersion = 'loadVersion',
  ChangeRole = 'changeRole',
}

export interface EngineOrder {
  readonly orderId: string;
  readonly kind: EngineOrderKind;
  readonly target: string;
  readonly fencingNumber: number;
  readonly deadlineAtMs: number;
}

export enum OrderOutcome {
  Accepted = 'accepted',
  /** The engine has seen a higher fencing number. */
  Fenced = 'fenced',
}

/** What an engine holds and which orders made it so. */
export interface EngineInventory {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly versions: readonly string[];
  readonly role: string;
  readonly orderIds: readonly string[];
}

/**
 * Model engines. Streams throw `NotSentError`, `RefusedError`, `StreamBrokenError`
 * or `NotFoundError`. A stream ends without error only after its finish event.
 */
export interface Engine {
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
  load(address: Address, deadlineAtMs: number): Promise<LoadReport>;
  cacheEvents(
    address: Address,
    afterSequence: number,
    deadlineAtMs: number,
  ): Promise<readonly CacheEvent[]>;
  /** Copies the stream's KV cache from one engine to another. */
  moveCache(
    from: Address,
    to: Address,
    streamId: string,
    deadlineAtMs: number,
  ): Promise<void>;
  order(address: Address, order: EngineOrder): Promise<OrderOutcome>;
  inventory(address: Address, deadlineAtMs: number): Promise<EngineInventory>;
}
