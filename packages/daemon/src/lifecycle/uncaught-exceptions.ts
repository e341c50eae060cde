export const EXIT_FAILURE = 1;

/** Process whose uncaught exceptions are handled. */
export interface ExceptionSource {
  on(
    event: 'uncaughtException',
    listener: (error: Error, origin: string) => void,
  ): unknown;
  exit(code: number): unknown;
}

/** Exceptions that nothing catches. Until they have a handler, the first one ends the process with its message. */
export class UncaughtExceptions {
  private handler: ((error: Error) => void) | undefined;

  constructor(source: ExceptionSource) {
    source.on('uncaughtException', (error, origin) => {
      if (this.handler !== undefined) {
        this.handler(error);
        return;
      }
      printFatal(error, origin);
      source.exit(EXIT_FAILURE);
    });
  }

  handleBy(handler: (error: Error) => void): void {
    this.handler = handler;
  }
}

// Node.js prints the source line first, which in a bundle fills what log collectors keep of a line.
function printFatal(error: unknown, origin: string): void {
  const { message, stack } =
    error instanceof Error ? error : new Error(String(error));
  console.error(
    JSON.stringify({
      level: 'fatal',
      origin,
      message,
      stack,
      msg: 'daemon: An unexpected error ends the process.',
    }),
  );
}
