/** Resolves after the event loop has polled all connections once more. */
export function nextPoll(): Promise<void> {
  return new Promise(resolve => {
    // The first callback runs before the next poll, the second one after it.
    setImmediate(() => setImmediate(resolve));
  });
}
