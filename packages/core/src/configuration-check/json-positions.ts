/** Deepest nesting that is read; a configuration has 5 levels. */
const MAX_DEPTH = 256;

const LITERAL = /true|false|null|-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?/y;
const ESCAPE = /\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4})/y;
const BLANKS = /[ \t\n\r]*/y;
const FIRST_PRINTABLE = ' ';

/** Position in a text; both count from 1, the column in UTF-16 code units. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** Value in a JSON text. */
export interface JsonNode {
  /** Index of its first character in the text. */
  readonly offset: number;
  /** Members of an object by key, or items of an array by index. */
  readonly children: ReadonlyMap<string, JsonNode>;
}

/** JSON text whose values can be located. */
export interface LocatedJson {
  readonly root: JsonNode;
  /** Offsets of values that a later member with the same key replaces. */
  readonly replacedOffsets: readonly number[];
}

/** Violation of the JSON grammar (RFC 8259); the message quotes at most one character of the text. */
export class JsonSyntaxError extends Error {
  override readonly name = 'JsonSyntaxError';

  constructor(
    message: string,
    readonly offset: number,
  ) {
    super(message);
  }
}

/** Returns where the values of a JSON text stand. Throws `JsonSyntaxError` at the first violation of the grammar. */
export function locateJson(text: string): LocatedJson {
  return new JsonScanner(text).scan();
}

/** Returns the node at `path`, or the innermost one around it if there is none. */
export function findNode(
  root: JsonNode,
  path: readonly (string | number)[],
): JsonNode {
  let node = root;
  for (const key of path) {
    const child = node.children.get(String(key));
    if (child === undefined) break;
    node = child;
  }
  return node;
}

/** Line and column for each offset of a text. */
export class LineIndex {
  private readonly lineStarts: readonly number[];

  constructor(text: string) {
    const starts = [0];
    let end = text.indexOf('\n');
    while (end >= 0) {
      starts.push(end + 1);
      end = text.indexOf('\n', end + 1);
    }
    this.lineStarts = starts;
  }

  positionAt(offset: number): TextPosition {
    let low = 0;
    let high = this.lineStarts.length;
    while (high - low > 1) {
      const middle = (low + high) >> 1;
      if ((this.lineStarts[middle] ?? 0) <= offset) low = middle;
      else high = middle;
    }
    return { line: low + 1, column: offset - (this.lineStarts[low] ?? 0) + 1 };
  }
}

/** Recursive-descent recogniser of JSON (RFC 8259) that records offsets. */
class JsonScanner {
  private offset = 0;
  private readonly replacedOffsets: number[] = [];

  constructor(private readonly text: string) {}

  scan(): LocatedJson {
    const root = this.scanValue(0);
    if (this.offset < this.text.length) this.fail('the end of the file');
    return { root, replacedOffsets: this.replacedOffsets };
  }

  private scanValue(depth: number): JsonNode {
    this.match(BLANKS);
    const offset = this.offset;
    if (depth > MAX_DEPTH) this.fail(`at most ${MAX_DEPTH} levels`);
    const children = new Map<string, JsonNode>();
    const first = this.text[offset];
    if (first === '{') this.scanObject(children, depth);
    else if (first === '[') this.scanArray(children, depth);
    else if (first === '"') this.scanString();
    else if (!this.match(LITERAL)) this.fail('a value');
    this.match(BLANKS);
    return { offset, children };
  }

  private scanObject(children: Map<string, JsonNode>, depth: number): void {
    this.scanList('}', () => {
      if (this.text[this.offset] !== '"') this.fail('a key in double quotes');
      const key = this.scanString();
      this.match(BLANKS);
      if (!this.skip(':')) this.fail('":"');
      const replaced = children.get(key);
      if (replaced) this.replacedOffsets.push(replaced.offset);
      children.set(key, this.scanValue(depth + 1));
    });
  }

  private scanArray(children: Map<string, JsonNode>, depth: number): void {
    this.scanList(']', () => {
      children.set(String(children.size), this.scanValue(depth + 1));
    });
  }

  private scanList(close: string, scanItem: () => void): void {
    this.offset += 1;
    this.match(BLANKS);
    if (this.skip(close)) return;
    for (;;) {
      scanItem();
      if (this.skip(close)) return;
      if (!this.skip(',')) this.fail(`"," or "${close}"`);
      this.match(BLANKS);
    }
  }

  private scanString(): string {
    const start = this.offset;
    this.offset += 1;
    while (!this.skip('"')) {
      const character = this.text[this.offset] ?? '';
      if (character === '\\') {
        if (!this.match(ESCAPE)) this.fail('an escape sequence');
      } else if (character < FIRST_PRINTABLE) this.fail('the end of a string');
      else this.offset += 1;
    }
    return JSON.parse(this.text.slice(start, this.offset)) as string;
  }

  private skip(character: string): boolean {
    if (this.text[this.offset] !== character) return false;
    this.offset += 1;
    return true;
  }

  /** Moves behind a match at the offset; returns whether there was one. */
  private match(pattern: RegExp): boolean {
    pattern.lastIndex = this.offset;
    if (!pattern.test(this.text)) return false;
    this.offset = pattern.lastIndex;
    return true;
  }

  private fail(expected: string): never {
    const found = this.text.codePointAt(this.offset);
    const foundText =
      found === undefined
        ? 'the end of the file'
        : JSON.stringify(String.fromCodePoint(found));
    throw new JsonSyntaxError(
      `Expected ${expected}, found ${foundText}.`,
      this.offset,
    );
  }
}
