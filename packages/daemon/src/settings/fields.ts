import { z } from 'zod';

const MAX_PORT = 65_535;

/** IPv4 address and port, separated by a colon. */
export const address = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, {
    error: 'an IP number and a port, such as 10.0.0.5:8080',
    abort: true,
  })
  .refine(
    text => Number(text.split(':')[1]) <= MAX_PORT,
    'a port of at most 65535',
  );

/** Duration in milliseconds. */
export const durationMs = z.int().positive();

/** Minimum severity of the log lines that are written. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}
