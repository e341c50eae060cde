import { z } from 'zod';

const PORT_LIMIT = 65_535;

/** An IP number and a port. */
export const address = z
  .string()
  .regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, {
    error: 'an IP number and a port, such as 10.0.0.5:8080',
    abort: true,
  })
  .refine(
    text => Number(text.split(':')[1]) <= PORT_LIMIT,
    'a port of at most 65535',
  );

/** A duration in milliseconds; it becomes a deadline where it is used. */
export const durationMs = z.int().positive();

export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
  Silent = 'silent',
}
