/** Two operators that publish competing changes, round after round.
 *
 * Each change replaces a pair of marked routes with the next pair, so that a
 * list of models shows which change is in force and whether it was applied as a
 * whole.
 *
 * @module
 */
import type { ConfigObject, Route } from "@banyanlb/core";
import { monotonicMs } from "@banyanlb/standins";
import { routesOf } from "./completions.ts";
import {
  type EditOutcome,
  lookUpBases,
  type ObjectName,
  publishUntilAccepted,
  publishWithBases,
} from "./operator_edits.ts";
import type { World } from "./world.ts";

/** Workspace of the marked routes. */
export const CHANGED_WORKSPACE = "west-lake";

/** The reply that one operator received for one change. */
export interface ChangeView {
  /** Common name of the change's pair of routes, without their suffixes. */
  readonly mark: string;
  /** Number of the round; increases by 1. */
  readonly number: number;
  readonly outcome: EditOutcome;
  /** Monotonic time of the reply. */
  readonly replied_ms: number;
  /** True if the change refers to an object that does not exist. */
  readonly is_invalid: boolean;
}

/** Options of a `ChangeLoop`. */
export interface ChangeLoopOptions {
  /** Indexes of the instances that the two operators use. */
  readonly operators: readonly [number, number];
  /** Prefix of all marks of this loop. */
  readonly tag: string;
}

const PAUSE_MS = 150;
const LOOKUP_RETRY_MS = 200;
const FIRST_CHANGE_LIMIT_MS = 10_000;
const ROUTE_SUFFIXES = ["a", "b"] as const;

/** Returns the names of a mark's two routes. */
export function routesOfMark(mark: string): readonly string[] {
  return ROUTE_SUFFIXES.map((part) => `${mark}.${part}`);
}

/** Parses the round's number from a mark: `TAG-NUMBER-OPERATOR`. */
export function numberOfMark(mark: string): number {
  return Number(mark.split("-")[1]);
}

function toRouteRefs(mark: string): readonly ObjectName[] {
  return routesOfMark(mark).map((name) => ({ kind: "route", name }));
}

/** Publishes rounds of changes. In each round, two operators publish changes
 * based on the same generations of the objects, and exactly one of the two may
 * be accepted. A third change of the round is invalid and must be rejected. */
export class ChangeLoop {
  readonly #world: World;
  readonly #options: ChangeLoopOptions;
  readonly #views: ChangeView[] = [];
  readonly #task: Promise<void>;
  #uncertain_marks: string[] = [];
  #current: string | undefined;
  #number = 0;
  #is_stopped = false;

  constructor(world: World, options: ChangeLoopOptions) {
    this.#world = world;
    this.#options = options;
    this.#task = this.#run();
  }

  /** Replies to the operators so far. */
  get views(): readonly ChangeView[] {
    return this.#views;
  }

  /** Starts no further round and waits for the current one. */
  async stop(): Promise<readonly ChangeView[]> {
    this.#is_stopped = true;
    await this.#task;
    return this.#views;
  }

  async #run(): Promise<void> {
    // Publishes the first pair of routes: competing changes conflict only if
    // both of them replace the same pair.
    const via = this.#options.operators[0];
    const first = `${this.#options.tag}-0-first`;
    const put = this.#routes(first, false);
    await publishUntilAccepted(
      this.#world,
      { put, via },
      FIRST_CHANGE_LIMIT_MS,
    );
    this.#current = first;
    while (!this.#is_stopped) {
      await this.#runRound();
      await this.#world.sleep(PAUSE_MS);
    }
  }

  async #runRound(): Promise<void> {
    const marks = [this.#current, ...this.#uncertain_marks]
      .filter((mark) => mark !== undefined);
    const bases = await this.#lookUpBases(marks.flatMap(toRouteRefs));
    if (bases === undefined) return;
    const current = marks.find((mark) => bases.has(`route/${mark}.a`));
    this.#current = current;
    this.#number += 1;
    const [first, second] = this.#options.operators;
    const publish = (via: number, name: string) =>
      this.#publish({ via, name, current, bases });
    // The invalid change is published before the race: after it, a conflict
    // would hide that an invalid change passes the check.
    const invalid = await publish(first, "broken");
    const racing = await Promise.all([
      publish(first, "x"),
      publish(second, "y"),
    ]);
    const views = [invalid, ...racing];
    this.#views.push(...views);
    const accepted = views.find((view) => view.outcome === "accepted");
    this.#current = accepted?.mark ?? current;
    this.#uncertain_marks.push(
      ...views.flatMap((v) => v.outcome === "unknown" ? [v.mark] : []),
    );
  }

  async #lookUpBases(refs: readonly ObjectName[]) {
    if (refs.length === 0) return new Map<string, number | null>();
    try {
      return await lookUpBases(this.#world, this.#options.operators[0], refs);
    } catch {
      await this.#world.sleep(LOOKUP_RETRY_MS);
      return undefined;
    }
  }

  async #publish(
    change: {
      readonly via: number;
      readonly name: string;
      readonly current: string | undefined;
      readonly bases: ReadonlyMap<string, number | null>;
    },
  ): Promise<ChangeView> {
    const { via, name, current, bases } = change;
    const number = this.#number;
    const is_invalid = name === "broken";
    const mark = `${this.#options.tag}-${number}-${name}`;
    const remove = current === undefined ? [] : toRouteRefs(current);
    const put = this.#routes(mark, is_invalid);
    const edit = { put, remove, via };
    const outcome = await publishWithBases(this.#world, edit, bases);
    return { mark, number, outcome, is_invalid, replied_ms: monotonicMs() };
  }

  /** Builds a mark's pair of routes. The second route of an invalid change
   * names a version that does not exist. */
  #routes(mark: string, is_invalid: boolean): readonly ConfigObject[] {
    const version = routesOf(this.#world, CHANGED_WORKSPACE)[0]?.version ?? "";
    return routesOfMark(mark).map((name, i): Route => ({
      kind: "route",
      name,
      workspace: CHANGED_WORKSPACE,
      serves: {
        type: "version",
        version: is_invalid && i > 0 ? `${version}.missing` : version,
      },
    }));
  }
}
