/** Slopes of callers' requests: processor time of the entry and the owner,
 * bytes between them, and processor time for each relayed token.
 *
 * @module
 */
import {
  REQUEST_TOKENS,
  type RequestTrial,
  type RequestUsage,
  startRequestTrial,
  type Tenant,
} from "./request_trial.ts";
import { fitSlope, type Slope } from "./slope.ts";

const WARM_UP_REQUESTS = 100;
const REQUEST_RATES = [20, 60, 120] as const;
const TOKEN_RATE_REQUESTS = 20;
const TOKEN_COUNTS = [16, 128, 384] as const;
const SPACED_COUNTS = [15, 30, 60] as const;

interface LoadRun {
  readonly x: number;
  readonly use: RequestUsage;
}

function coreSlope(
  name: string,
  options: {
    readonly runs: readonly LoadRun[];
    readonly what: string;
    readonly per: string;
    readonly read: (use: RequestUsage) => number;
  },
): Slope {
  const { runs, read, ...rest } = options;
  return fitSlope({
    ...rest,
    name,
    unit: "core",
    points: runs.map(({ x, use }) => ({ x, y: read(use) / use.seconds })),
  });
}

async function measureRates(
  trial: RequestTrial,
  tenant: Tenant,
): Promise<readonly LoadRun[]> {
  const runs: LoadRun[] = [];
  for (const per_s of REQUEST_RATES) {
    const use = await trial.load(tenant, {
      per_s,
      max_tokens: REQUEST_TOKENS,
    });
    runs.push({ x: use.requests / use.seconds, use });
  }
  return runs;
}

async function measureTokenRelay(trial: RequestTrial): Promise<Slope> {
  const runs: LoadRun[] = [];
  for (const max_tokens of TOKEN_COUNTS) {
    const use = await trial.load(trial.roles.entry_tenant, {
      per_s: TOKEN_RATE_REQUESTS,
      max_tokens,
    });
    runs.push({ x: use.requests * max_tokens / use.seconds, use });
  }
  return coreSlope("token_entry", {
    runs,
    what: "processor time of an entry that relays streams",
    per: "tokens/s",
    read: (use) => use.entry_s,
  });
}

async function measureSpacedRequests(
  trial: RequestTrial,
  options: { readonly name: string; readonly what: string },
  tenant: Tenant,
): Promise<Slope> {
  const points = [];
  for (const count of SPACED_COUNTS) {
    const use = await trial.sendSpaced(tenant, count);
    points.push({ x: count, y: use.peer_bytes });
  }
  return fitSlope({ ...options, per: "requests", unit: "B", points });
}

/** Measures all slopes of requests. */
export async function measureRequests(): Promise<readonly Slope[]> {
  const trial = await startRequestTrial();
  const { roles } = trial;
  try {
    for (let i = 0; i < WARM_UP_REQUESTS; i++) {
      await trial.send(
        i % 2 === 0 ? roles.entry_tenant : roles.owner_tenant,
        REQUEST_TOKENS,
      );
    }
    const byte_slopes = [
      await measureSpacedRequests(trial, {
        name: "permit_bytes",
        what: "bytes of permit request, grant, release and reply, with framing",
      }, roles.entry_tenant),
      await measureSpacedRequests(trial, {
        name: "permit_rate_bytes",
        what: "permit bytes, with tokens reserved and settled elsewhere",
      }, roles.owner_tenant),
    ];
    const entry_tenant_runs = await measureRates(trial, roles.entry_tenant);
    const owner_tenant_runs = await measureRates(trial, roles.owner_tenant);
    const per = "requests/s";
    return [
      ...byte_slopes,
      coreSlope("request_entry", {
        runs: entry_tenant_runs,
        what: "processor time of an entry, permit elsewhere, own tokens",
        per,
        read: (use) => use.entry_s,
      }),
      coreSlope("request_owner", {
        runs: entry_tenant_runs,
        what: "processor time of an owner that is not the entry",
        per,
        read: (use) => use.owner_s,
      }),
      coreSlope("request_entry_far", {
        runs: owner_tenant_runs,
        what: "processor time of an entry, permit and tokens elsewhere",
        per,
        read: (use) => use.entry_s,
      }),
      coreSlope("request_owner_far", {
        runs: owner_tenant_runs,
        what: "processor time of an owner that holds the tokens as well",
        per,
        read: (use) => use.owner_s,
      }),
      await measureTokenRelay(trial),
    ];
  } finally {
    await trial.close();
  }
}
