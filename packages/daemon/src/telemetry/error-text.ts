/** Returns what a log line says of an error that nothing expected: its stack, if it has one. */
export function errorText(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}
