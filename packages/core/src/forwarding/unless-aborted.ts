/** Resolves with the result of a promise, or with undefined once the signal is aborted. */
export async function unlessAborted<Result>(
  promise: Promise<Result>,
  signal: AbortSignal,
): Promise<Result | undefined> {
  if (signal.aborted) return undefined;
  let onAbort: () => void = () => undefined;
  const aborted = new Promise<undefined>(resolve => {
    onAbort = () => {
      resolve(undefined);
    };
  });
  signal.addEventListener('abort', onAbort, { once: true });
  try {
    return await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', onAbort);
  }
}
