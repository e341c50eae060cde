/** Map of bounded size; evicts the least recently written entry when it is full. */
export class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>();

  constructor(private readonly maxEntries: number) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: Key): Value | undefined {
    return this.entries.get(key);
  }

  set(key: Key, value: Value): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.maxEntries) return;
    for (const oldest of this.entries.keys()) {
      this.entries.delete(oldest);
      return;
    }
  }

  values(): IterableIterator<Value> {
    return this.entries.values();
  }

  clear(): void {
    this.entries.clear();
  }

  delete(key: Key): void {
    this.entries.delete(key);
  }
}
