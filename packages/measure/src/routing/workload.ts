import type { Priority, Random, Workspace } from '@skylarkreach/core/ports';
import {
  CHARACTERS_PER_TOKEN,
  estimateTokens,
  promptBlockHashes,
  SeededRandom,
} from '@skylarkreach/core/ports';

/** Request of a workload. */
export interface WorkItem {
  readonly requestId: string;
  readonly workspace: Workspace;
  readonly kind: string;
  readonly priority: Priority;
  readonly arrivesAtMs: number;
  readonly deadlineAtMs: number;
  readonly promptText: string;
  readonly promptTokens: number;
  readonly blockHashes: readonly string[];
  readonly maxTokens: number;
  readonly outputTokens: number;
}

interface IntegerRange {
  readonly min: number;
  readonly max: number;
}

/** Properties of the requests of one kind. */
export interface RequestKindShape {
  readonly kind: string;
  readonly priority: Priority;
  /** Relative frequency among all requests. */
  readonly share: number;
  readonly questionTokens: IntegerRange;
  readonly outputTokens: IntegerRange;
  readonly deadlineMs: number;
}

/** Requests and engines of one deployment. */
export interface WorkloadShape {
  readonly name: string;
  readonly engines: number;
  readonly cacheTokens: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  /** Relative frequency of requests by workspace. */
  readonly workspaceShares: readonly number[];
  readonly systemTokens: number;
  /** Documents (ledgers, contracts) in use at any time, over all workspaces. */
  readonly documents: number;
  readonly documentTokens: IntegerRange;
  /** Number of requests after which a document is replaced by a new one. */
  readonly requestsPerDocument: IntegerRange;
  readonly kinds: readonly RequestKindShape[];
}

interface OpenDocument {
  readonly text: string;
  remainingRequests: number;
}

/** Returns the requests of a workload with Poisson arrivals, in order of arrival. */
export function createWorkload(
  shape: WorkloadShape,
  seed: number,
): readonly WorkItem[] {
  return new WorkloadBuilder(shape, new SeededRandom(seed)).build();
}

class WorkloadBuilder {
  private readonly openDocuments: OpenDocument[][];
  private readonly systemText: string;

  constructor(
    private readonly shape: WorkloadShape,
    private readonly random: Random,
  ) {
    this.systemText = this.createUniqueText(shape.systemTokens);
    this.openDocuments = shape.workspaceShares.map(share => {
      const count = Math.max(1, Math.round(share * shape.documents));
      return Array.from({ length: count }, () => this.openDocument());
    });
  }

  build(): readonly WorkItem[] {
    const items: WorkItem[] = [];
    let atMs = 0;
    for (;;) {
      const gap = -Math.log(1 - this.random.nextFloat());
      atMs += (gap * 1_000) / this.shape.requestsPerSecond;
      if (atMs > this.shape.durationMs) return items;
      items.push(this.createItem(items.length, atMs));
    }
  }

  private createItem(index: number, arrivesAtMs: number): WorkItem {
    const shares = this.shape.workspaceShares;
    const workspace = this.drawWeightedIndex(shares);
    const kinds = this.shape.kinds;
    const kind = kinds[this.drawWeightedIndex(kinds.map(shape => shape.share))];
    if (kind === undefined)
      throw new Error('The workload shape has no request kinds.');
    const question = this.createUniqueText(
      this.drawInteger(kind.questionTokens),
    );
    const document = this.drawDocumentText(workspace);
    const promptText = this.systemText + document + question;
    return {
      requestId: `request-${index}`,
      workspace: `workspace-${workspace + 1}`,
      kind: kind.kind,
      priority: kind.priority,
      arrivesAtMs,
      deadlineAtMs: arrivesAtMs + kind.deadlineMs,
      promptText,
      promptTokens: estimateTokens(promptText),
      blockHashes: promptBlockHashes(promptText),
      maxTokens: kind.outputTokens.max,
      outputTokens: this.drawInteger(kind.outputTokens),
    };
  }

  private drawDocumentText(workspace: number): string {
    const documents = this.openDocuments[workspace] ?? [];
    const index = this.random.nextInteger(documents.length);
    const document = documents[index];
    if (document === undefined) return '';
    document.remainingRequests -= 1;
    if (document.remainingRequests === 0)
      documents[index] = this.openDocument();
    return document.text;
  }

  private openDocument(): OpenDocument {
    return {
      text: this.createUniqueText(this.drawInteger(this.shape.documentTokens)),
      remainingRequests: this.drawInteger(this.shape.requestsPerDocument),
    };
  }

  private drawWeightedIndex(weights: readonly number[]): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let remainder = this.random.nextFloat() * total;
    const index = weights.findIndex(weight => (remainder -= weight) < 0);
    return index === -1 ? weights.length - 1 : index;
  }

  private drawInteger({ min, max }: IntegerRange): number {
    return min + this.random.nextInteger(max - min + 1);
  }

  /** Returns text that repeats a random word, so that it shares no block with any other text. */
  private createUniqueText(tokens: number): string {
    const word = this.random
      .nextInteger(2 ** 31)
      .toString(36)
      .padStart(8, '.');
    const length = tokens * CHARACTERS_PER_TOKEN;
    return word.repeat(Math.ceil(length / word.length)).slice(0, length);
  }
}
