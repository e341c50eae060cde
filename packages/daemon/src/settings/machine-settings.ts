import { z } from 'zod';

/** Schema of the limits of the machine, which a crowd of callers may not exceed; the defaults are those of the smallest one. */
export const machineSettingsSchema = z
  .strictObject({
    /** Memory of the machine, in units of 1,000,000 bytes. */
    memoryMb: z.number().positive().default(210),
    /** Descriptors that the process may open. */
    maxDescriptors: z.int().positive().default(2_212),
  })
  .prefault({});

export type MachineSettings = z.output<typeof machineSettingsSchema>;
