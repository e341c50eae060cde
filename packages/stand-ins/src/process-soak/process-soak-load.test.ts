import { SoakProfile } from './soak-profile.js';
import { describeSoaks } from './soak-suite.js';

describeSoaks(
  'daemons before cold endpoints or with a queue, under overlapping faults',
  [
    { profile: SoakProfile.Cold, seed: 4, durationMs: 12_000 },
    { profile: SoakProfile.Store, seed: 7, durationMs: 6_000 },
  ],
);
