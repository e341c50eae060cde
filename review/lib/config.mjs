// A configuration as the operator writes it, with a route of each kind.
export const HOST = 'ledger.example';
export const KEY = 'key-of-the-practice';

const route = { Host: HOST, TargetLatencyMs: 100, Priority: 0, Public: false };

export function plainRoute(
  name,
  service,
  type,
  { attempts = 2, timeoutMs = 1_500 } = {},
) {
  return {
    ...route,
    Name: name,
    PathPrefix: `/${name}/`,
    Type: type,
    Service: service,
    MaxAttempts: attempts,
    TimeoutMs: timeoutMs,
  };
}

export function streamRoute(
  name,
  service,
  { attempts = 2, resume = true } = {},
) {
  return {
    ...route,
    Name: name,
    PathPrefix: `/${name}/`,
    Type: 'streaming',
    Service: service,
    MaxAttempts: attempts,
    TimeoutMs: 10_000,
    TargetGapMs: 400,
    StreamResume: resume,
    SessionAffinity: true,
  };
}

export function createConfig(Version, routes, { keys = [KEY], services } = {}) {
  const names = services ?? [...new Set(routes.map(({ Service }) => Service))];
  return {
    Version,
    Routes: routes,
    Services: names.map(Name => ({
      Name,
      HealthPath: '/health',
      MaxConnections: 110,
    })),
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 4_194_304,
      HeaderTimeoutMs: 3_000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: [
      {
        Name: 'practice',
        ApiKeys: keys,
        Unit: 'token_stream',
        PlainTokens: 200,
        RatePerS: 1_000_000,
        Burst: 1_000_000,
      },
    ],
  };
}
