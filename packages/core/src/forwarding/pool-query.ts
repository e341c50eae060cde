import type { DataCentre } from '../ports/index.js';
import type { PromptPart } from './forward-request.js';

/** Criteria for choosing an endpoint. */
export interface PoolQuery {
  readonly group: string;
  /** The only version allowed; any if absent. */
  readonly onlyVersion?: string;
  /** Version that is excluded. */
  readonly notVersion?: string;
  /** Ids of the endpoints already tried. */
  readonly excluded: ReadonlySet<string>;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Data centres whose endpoints may be chosen; any if absent. */
  readonly allowedDataCentres?: ReadonlySet<DataCentre>;
  /** Skips endpoints whose known load leaves no capacity. */
  readonly requiresRoom?: boolean;
  /** Whether the endpoint may be told to fetch the prompt from another one. */
  readonly mayTransferPrompt?: boolean;
  /** Output tokens to expect; absent if nothing is known. */
  readonly expectedOutputTokens?: number;
}
