/** Brings one request per instance to a given step of its life cycle.
 *
 * @module
 */
import { expectedTokens, type PlannedRoute } from "@banyanlb/standins";
import { waitUntil } from "../harness/cluster.ts";
import { promptOf, routesOf } from "./completions.ts";
import { readEngines, requestsOf } from "./checks/engine_check.ts";
import {
  KeepAliveConnection,
  type TimedResponse,
} from "./keep_alive_connection.ts";
import type { World } from "./world.ts";

/** The step to reach and the requests to send. */
export interface StepOptions {
  readonly step: string;
  readonly key: string;
  /** Routes of one workspace, used round-robin. */
  readonly routes: readonly PlannedRoute[];
  /** Length of each completion in tokens. Default `LONG_TOKENS`. */
  readonly tokens?: number;
  /** Delay of slow loads and service calls. Default `SLOW_MS`. */
  readonly slow_ms?: number;
}

/** Requests in flight, one per instance. */
export interface StartedRequests {
  readonly is_reached: boolean;
  /** Sends the rest of the bodies that a step withholds. */
  readonly release: () => void;
  /** Waits for all requests to end and closes their connections. */
  readonly answers: () => Promise<readonly TimedResponse[]>;
}

interface StepSetup {
  readonly stream?: boolean;
  readonly holds_body?: boolean;
  readonly arrange: (world: World, options: StepOptions) => Promise<void>;
  readonly isReached: (
    world: World,
    options: StepOptions,
  ) => Promise<boolean>;
}

const PATH = "/v1/completions";
const FILLER_WORKSPACE = "large-buyer";
const FILLER_REQUESTS = 48;
const MIN_RUNNING_FILLERS = 12;
const FILL_LIMIT_MS = 6_000;
const LONG_TOKENS = 200;
const PROMPT_TOKENS = 8;
const PROMPT_INCREMENT = 8;
const SLOW_TOKEN_MS = 100;
const SLOW_MS = 8_000;
const STEP_LIMIT_MS = 8_000;
const SETTLE_MS = 1_000;
const REQUEST_TIMEOUT_MS = 30_000;

async function setEngines(world: World, faults: object): Promise<void> {
  await Promise.all(
    world.engines.map(({ control }) => control.setFaults(faults)),
  );
}

function slowTokens(world: World): Promise<void> {
  return setEngines(world, { slow_token_ms: SLOW_TOKEN_MS });
}

/** Fills every engine with long requests of another workspace. */
async function fillEngines(
  world: World,
  { tokens = LONG_TOKENS }: StepOptions,
): Promise<void> {
  await slowTokens(world);
  const routes = routesOf(world, FILLER_WORKSPACE);
  for (let i = 0; i < FILLER_REQUESTS; i++) {
    const route = routes[i % routes.length];
    const body = {
      model: route?.route,
      prompt: promptOf(PROMPT_TOKENS + i),
      max_tokens: tokens,
    };
    void world.caller.call({
      path: PATH,
      key: world.cluster.keyOf(FILLER_WORKSPACE),
      url: world.instance(i % world.cluster.instances.length).caller_url,
      body,
      timeout_ms: REQUEST_TIMEOUT_MS,
    }).catch(() => undefined);
  }
  await waitUntil(
    async () => await countFillers(world) >= MIN_RUNNING_FILLERS,
    {
      what: "the engines are busy",
      limit_ms: FILL_LIMIT_MS,
    },
  ).catch(() => undefined);
}

async function countFillers(world: World): Promise<number> {
  return requestsOf(await readEngines(world)).filter((request) =>
    request.workspace === FILLER_WORKSPACE && request.outcome === "running"
  ).length;
}

async function slowLoads(
  world: World,
  { slow_ms = SLOW_MS }: StepOptions,
): Promise<void> {
  await setEngines(world, { load_delay_ms: slow_ms });
  for (const { control } of world.engines) {
    await control.post("action", { action: "restart_empty" });
  }
}

async function countAtEngines(
  world: World,
  { routes }: StepOptions,
): Promise<number> {
  const workspace = routes[0]?.workspace;
  const requests = requestsOf(await readEngines(world));
  return requests.filter((request) =>
    request.workspace === workspace && request.tokens > 0
  ).length;
}

async function isHeldBack(
  world: World,
  options: StepOptions,
): Promise<boolean> {
  await world.sleep(SETTLE_MS);
  return await countAtEngines(world, options) === 0;
}

async function isRunning(
  world: World,
  options: StepOptions,
): Promise<boolean> {
  return await countAtEngines(world, options) >=
    world.cluster.instances.length;
}

const noSetup = () => Promise.resolve();

/** Set-up of each step, by the name of the step. */
export const request_steps: Readonly<Record<string, StepSetup>> = {
  idle: { arrange: noSetup, isReached: () => Promise.resolve(true) },
  body_under_way: {
    holds_body: true,
    arrange: noSetup,
    isReached: isHeldBack,
  },
  waiting_for_load: { arrange: slowLoads, isReached: isHeldBack },
  queued: { arrange: fillEngines, isReached: isHeldBack },
  running: { arrange: slowTokens, isReached: isRunning },
  streaming: { stream: true, arrange: slowTokens, isReached: isRunning },
  service_running: {
    arrange: async (world, { slow_ms = SLOW_MS }) => {
      for (const { control } of world.services) {
        await control.setFaults({ delay_ms: slow_ms });
      }
    },
    isReached: async (world) => {
      await world.sleep(SETTLE_MS);
      return true;
    },
  },
};

/** Returns a prompt whose completion does not end before `max_tokens`. */
function promptForLongCompletion(
  version: string,
  options: { readonly number: number; readonly max_tokens: number },
): string {
  const { number, max_tokens } = options;
  for (let extra = 0;; extra += PROMPT_INCREMENT) {
    const prompt = promptOf(PROMPT_TOKENS + number + extra);
    const tokens = expectedTokens({ version, prompt, max_tokens });
    if (tokens.length === max_tokens) return prompt;
  }
}

function completionBody(
  options: StepOptions & { readonly number: number },
  step: StepSetup,
): string {
  const { number, routes, tokens: max_tokens = LONG_TOKENS } = options;
  const route = routes[number % routes.length];
  return JSON.stringify({
    model: route?.route,
    prompt: promptForLongCompletion(route?.version ?? "", {
      number,
      max_tokens,
    }),
    max_tokens,
    stream: step.stream ?? false,
  });
}

/** Yields the first half at once and the rest once `released` resolves. */
async function* bodyInHalves(
  text: string,
  released: Promise<void>,
): AsyncGenerator<string> {
  const half = Math.floor(text.length / 2);
  yield text.slice(0, half);
  await released;
  yield text.slice(half);
}

function sendRequest(
  connection: KeepAliveConnection,
  options: StepOptions & {
    readonly step_setup: StepSetup;
    readonly released: Promise<void>;
    readonly number: number;
  },
): Promise<TimedResponse> {
  const { key, step, step_setup, released, number } = options;
  const timeout_ms = REQUEST_TIMEOUT_MS;
  if (step === "service_running") {
    const path = "/services/confirm/orders";
    const headers = { "idempotency-key": `${key}-${number}` };
    return connection.send({ path, key, headers, body: "{}", timeout_ms });
  }
  const text = completionBody(options, step_setup);
  const body = step_setup.holds_body ? bodyInHalves(text, released) : text;
  return connection.send({ path: PATH, key, body, timeout_ms });
}

/** Sends one request to each instance and waits until the step is reached, for
 * at most `STEP_LIMIT_MS`. At the step `idle` no request is sent. */
export async function startRequests(
  world: World,
  options: StepOptions,
): Promise<StartedRequests> {
  const step_setup = request_steps[options.step];
  if (step_setup === undefined) throw new Error(`no step ${options.step}`);
  await step_setup.arrange(world, options);
  let release = () => {};
  const released = new Promise<void>((resolve) => release = resolve);
  const all = options.step === "idle" ? [] : world.cluster.instances;
  const connections = all.map((_, i) => new KeepAliveConnection(world, i));
  const sent = connections.map((connection, number) =>
    sendRequest(connection, { ...options, step_setup, released, number })
  );
  const is_reached = await waitUntil(
    () => step_setup.isReached(world, options),
    { what: "the step is reached", limit_ms: STEP_LIMIT_MS },
  ).then(() => true, () => false);
  return {
    is_reached,
    release,
    answers: async () => {
      const answers = await Promise.all(sent);
      await Promise.all(connections.map((connection) => connection.close()));
      return answers;
    },
  };
}
