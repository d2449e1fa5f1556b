/** The requests of a soak that crash each engine which begins to run them, and
 * sound ones that differ from them in caller, path or body only.
 *
 * @module
 */
import type { CrashingRequest } from "@banyanlb/platform/stand_in";
import type { RequestKind } from "./checks.ts";
import { methodOf } from "./send_request.ts";

/** A request that is sent again and again, each time with another id. */
export interface RepeatedRequest {
  readonly name: string;
  readonly kind: RequestKind;
  /** With its query. */
  readonly path: string;
  /** Empty for a read. */
  readonly body: string;
  readonly workspace: string;
  readonly key: string;
  readonly model: string | undefined;
  /** Ids of the prompt's parts. */
  readonly parts: readonly string[] | undefined;
}

/** How the callers of a crashing request begin; later they come each second. */
export type Pace =
  /** Several at once, at all gateways. */
  | "at_once"
  /** Every 20 ms for a short while, at any gateway. */
  | "quick"
  /** Each second from the beginning on, at any gateway. */
  | "steady";

/** A request on which engines end. */
export interface GuiltyRequest extends RepeatedRequest {
  readonly pace: Pace;
  /** Time until it comes for the first time, in milliseconds. */
  readonly delayMs: number;
  /** Whether engines send the head of an answer before they end. */
  readonly isAnswered: boolean;
}

/** Workspaces and keys of a crashing request and of another caller's. Neither is
 * limited or withdrawn in a soak. */
const CALLER = { workspace: "w1", key: "key-1" } as const;
const OTHER_CALLER = { workspace: "w2", key: "key-2" } as const;

const KINDS: readonly RequestKind[] = ["read", "once", "stream"];
const PACES: readonly Pace[] = ["at_once", "quick", "steady"];

/** First part of every prompt. */
const FIRST_PART = "f0";

/** Chooses crashing requests, one of each kind, which first come within
 * `withinMs`.
 *
 * @example
 * ```ts
 * const guilty = chooseGuilty({ random, model: "m0", withinMs: 3000 });
 * ```
 */
export function chooseGuilty(
  { random, model, withinMs }: {
    readonly random: () => number;
    readonly model: string;
    readonly withinMs: number;
  },
): readonly GuiltyRequest[] {
  const firstPace = Math.floor(random() * PACES.length);
  return KINDS.map((kind, i) => ({
    name: `guilty-${kind}`,
    kind,
    path: `/${kind}/repeated?page=1`,
    body: kind === "read" ? "" : "body 1",
    ...CALLER,
    model: kind === "stream" ? `${model}/a0` : undefined,
    parts: kind === "stream" ? [FIRST_PART, "c1", "01"] : undefined,
    // Each pace occurs, by seed with another kind.
    pace: PACES[(firstPace + i) % PACES.length] ?? "steady",
    delayMs: random() * withinMs,
    isAnswered: random() < 0.5,
  }));
}

/** The sound requests that differ from a crashing one in one respect: the caller,
 * the path, or the body. */
export function soundTwins(
  { name, kind, path, body, workspace, key, model, parts }: GuiltyRequest,
): readonly RepeatedRequest[] {
  const twin = { kind, path, body, workspace, key, model, parts };
  const twins = [
    { ...twin, ...OTHER_CALLER, name: `${name} of another caller` },
    { ...twin, path: `/${kind}/repeated?page=2`, name: `${name} elsewhere` },
  ];
  return kind === "read"
    ? twins
    : [...twins, { ...twin, body: "body 2", name: `${name} of another body` }];
}

/** The requests as engine stand-ins are told of them. */
export function toldToEngines(
  guilty: readonly GuiltyRequest[],
): readonly CrashingRequest[] {
  return guilty.map(({ kind, path, workspace, body, isAnswered }) => ({
    method: methodOf(kind),
    path,
    workspace,
    body,
    isAnswered,
  }));
}
