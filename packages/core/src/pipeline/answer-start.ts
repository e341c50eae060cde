import type { EngineEvent } from '../ports/index.js';
import { EngineEventKind } from '../ports/index.js';
import type {
  ModelRequestSpec,
  RequestIdentity,
  RequestRecord,
  ResumePoint,
} from '../streams/index.js';

/** Endpoint and stream that make an answer. */
export interface StreamTarget {
  readonly address: string;
  readonly streamId: string;
}

/** Where an answer is taken up. */
export interface AnswerStart {
  readonly name: RequestIdentity;
  readonly deadlineAtMs: number;
  /** Undefined where only a resume token is known. */
  readonly work: ModelRequestSpec | undefined;
  /** Text that the caller has, as far as it is held here. */
  readonly sentText: string;
  readonly sentTokens: number;
  /** Characters that the caller has and this process does not hold. */
  readonly unheldCharacters: number;
  /** Version that made the text so far. */
  readonly version: string | undefined;
  readonly target: StreamTarget | undefined;
  /** Events that are known already and go to the caller first. */
  readonly replay: readonly EngineEvent[];
}

/** Starts a request that nothing was generated for. */
export function startFresh(work: ModelRequestSpec): AnswerStart {
  return {
    name: { workspace: work.workspace, requestId: work.requestId },
    deadlineAtMs: work.deadlineAtMs,
    work,
    sentText: '',
    sentTokens: 0,
    unheldCharacters: 0,
    version: undefined,
    target: undefined,
    replay: [],
  };
}

/** Goes on after the text that the caller sent back with its request. */
export function startAfterText(
  work: ModelRequestSpec,
  text: string,
  point: ResumePoint,
): AnswerStart {
  return {
    ...startFresh(work),
    sentText: text,
    sentTokens: point.tokenOffset,
    target: { address: point.address, streamId: point.streamId },
  };
}

/** Goes on with a stream of which only the resume token is known. */
export function startFromPoint(point: ResumePoint): AnswerStart {
  return {
    name: { workspace: point.workspace, requestId: point.requestId },
    deadlineAtMs: point.expiresAtMs,
    work: undefined,
    sentText: '',
    sentTokens: point.tokenOffset,
    unheldCharacters: point.characters,
    version: undefined,
    target: { address: point.address, streamId: point.streamId },
    replay: [],
  };
}

/** Whether a record holds all the text that the caller has. */
export function covers(record: RequestRecord, point: ResumePoint): boolean {
  return (
    record.text.length >= point.characters && record.tokens >= point.tokenOffset
  );
}

/** Goes on from a record, after what the caller has or from the beginning. */
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
    ...startFresh(work),
    sentText: record.text.slice(0, characters),
    sentTokens: point?.tokenOffset ?? 0,
    version: record.version,
    target,
    replay: replayOf(record, characters, point?.tokenOffset ?? 0),
  };
}

function replayOf(
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
