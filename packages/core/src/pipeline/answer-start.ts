import type { EngineEvent } from '../ports/index.js';
import { EngineEventKind } from '../ports/index.js';
import type {
  ModelRequestSpec,
  RequestIdentity,
  RequestRecord,
  ResumePoint,
} from '../streams/index.js';

/** Endpoint and stream that generate an answer. */
export interface StreamTarget {
  readonly address: string;
  readonly streamId: string;
}

/** State from which a run starts or continues an answer. */
export interface AnswerStart {
  readonly name: RequestIdentity;
  readonly deadlineAtMs: number;
  /** Undefined if only a resume token is known. */
  readonly work: ModelRequestSpec | undefined;
  /** Text that the caller already has, as far as this process holds it. */
  readonly sentText: string;
  readonly sentTokens: number;
  /** Number of characters that the caller has but this process does not hold. */
  readonly unbufferedCharacters: number;
  /** Version that generated the text so far. */
  readonly version: string | undefined;
  readonly target: StreamTarget | undefined;
  /** Events known from a record, which are yielded before any new ones. */
  readonly replayedEvents: readonly EngineEvent[];
}

/** Starts a request for which nothing has been generated. */
export function startNew(work: ModelRequestSpec): AnswerStart {
  return {
    name: { workspace: work.workspace, requestId: work.requestId },
    deadlineAtMs: work.deadlineAtMs,
    work,
    sentText: '',
    sentTokens: 0,
    unbufferedCharacters: 0,
    version: undefined,
    target: undefined,
    replayedEvents: [],
  };
}

/** Continues after the text that the caller sent back with its request. */
export function startAfterText(
  work: ModelRequestSpec,
  text: string,
  point: ResumePoint,
): AnswerStart {
  return {
    ...startNew(work),
    sentText: text,
    sentTokens: point.tokenOffset,
    target: { address: point.address, streamId: point.streamId },
  };
}

/** Continues a stream of which only the resume token is known. */
export function startFromPoint(point: ResumePoint): AnswerStart {
  return {
    name: { workspace: point.workspace, requestId: point.requestId },
    deadlineAtMs: point.expiresAtMs,
    work: undefined,
    sentText: '',
    sentTokens: point.tokenOffset,
    unbufferedCharacters: point.characters,
    version: undefined,
    target: { address: point.address, streamId: point.streamId },
    replayedEvents: [],
  };
}

/** Whether a record includes all the text that the caller has. */
export function recordCovers(
  record: RequestRecord,
  point: ResumePoint,
): boolean {
  return (
    record.text.length >= point.characters && record.tokens >= point.tokenOffset
  );
}

/** Continues from a record, after the point that the caller has reached or from the beginning. */
export function startFromRecord(
  record: RequestRecord,
  point?: ResumePoint,
): AnswerStart {
  const { address, streamId, work } = record;
  const characters = point?.characters ?? 0;
  const target =
    address === undefined || streamId === undefined
      ? undefined
      : { address, streamId };
  return {
    ...startNew(work),
    sentText: record.text.slice(0, characters),
    sentTokens: point?.tokenOffset ?? 0,
    version: record.version,
    target,
    replayedEvents: replayedEventsOf(
      record,
      characters,
      point?.tokenOffset ?? 0,
    ),
  };
}

function replayedEventsOf(
  record: RequestRecord,
  characters: number,
  tokenOffset: number,
): readonly EngineEvent[] {
  const streamId = record.streamId ?? '';
  const events: EngineEvent[] = [];
  if (record.tokens > tokenOffset) {
    events.push({
      kind: EngineEventKind.Chunk,
      streamId,
      tokenOffset,
      tokens: record.tokens - tokenOffset,
      text: record.text.slice(characters),
    });
  }
  if (record.finish !== undefined) events.push({ ...record.finish, streamId });
  return events;
}
