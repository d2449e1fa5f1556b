/** Commands on the fleet: `status`, `drain`, `retire` and `top`.
 *
 * @module
 */
import { setTimeout } from "node:timers/promises";
import type { Connection } from "./connection.ts";
import { EXIT, type ExitCode, TOP_INTERVAL_MS } from "./constants.ts";
import { CtlError, publishError } from "./ctl_error.ts";
import { formatResult, formatTable, type Row } from "./output.ts";
import type { Session } from "./session.ts";

type ReadRows = (connection: Connection) => Promise<readonly Row[]>;

const VIEWS: Readonly<Record<string, ReadRows>> = {
  instances: (connection) =>
    connection.read(async (calls) => toRows(await calls.instances.query())),
  targets: (connection) =>
    connection.read(async (calls) => toRows(await calls.targets.query())),
  ownership: (connection) =>
    connection.read(async (calls) => toRows(await calls.ownership.query())),
  workspaces: (connection) =>
    connection.read(async (calls) => toRows(await calls.workspaces.query())),
  counters: (connection) =>
    connection.read(async (calls) => toRows(await calls.counters.query())),
};

function toRows(rows: readonly object[]): readonly Row[] {
  return rows.map((row) => ({ ...row }));
}

/** `status [VIEW]`: prints the status of the connected instance, or a view of
 * the fleet. */
export async function runStatus(
  session: Session,
  view: string | undefined,
): Promise<ExitCode> {
  const read = view === undefined ? undefined : VIEWS[view];
  if (view !== undefined && read === undefined) {
    const known = Object.keys(VIEWS).join(", ");
    throw new CtlError(EXIT.usage, `unknown view ${view}; use ${known}`);
  }
  const connection = await session.connect();
  if (read !== undefined) {
    session.rows(await read(connection));
    return EXIT.ok;
  }
  const status = await connection.read((calls) => calls.status.query());
  session.result({ ...status });
  return EXIT.ok;
}

/** `drain NAME`: drains the instance of that name if it exists, else the
 * target. */
export async function runDrain(
  session: Session,
  name: string,
): Promise<ExitCode> {
  const connection = await session.connect();
  const instances = await connection.read((calls) => calls.instances.query());
  if (instances.some((row) => row.instance === name)) {
    const reply = await connection.write((calls) =>
      calls.drain_instance.mutate({ name })
    );
    if (reply.state !== "leaving") {
      const message = reply.message ?? `${name} is ${reply.state}; see status`;
      throw new CtlError(EXIT.refused, message);
    }
    session.result({ ...reply });
    return EXIT.ok;
  }
  const reply = await connection.write((calls) =>
    calls.drain_target.mutate({ name })
  );
  if (reply.error !== undefined) throw publishError(reply.error);
  session.result({ name, state: "leaving", generation: reply.generation });
  return EXIT.ok;
}

/** `retire SESSION`: ends the session of a dead process whose successors are
 * lost too, so that its slots are reassigned to other processes. */
export async function runRetire(
  session: Session,
  id: string,
): Promise<ExitCode> {
  const connection = await session.connect();
  session.io.err(`waiting to see whether ${id} is renewed within one term`);
  const reply = await connection.write((calls) =>
    calls.retire.mutate({ name: id })
  );
  if (reply.state !== "ended") {
    throw new CtlError(EXIT.refused, reply.message ?? reply.state);
  }
  session.result({ ...reply });
  return EXIT.ok;
}

const CLEAR_SCREEN = "\u001b[2J\u001b[H";

/** `top`: prints a live view until interrupted, or `count` times. The JSON
 * format prints one line per refresh. */
export async function runTop(
  session: Session,
  count: number,
): Promise<ExitCode> {
  const { signal } = session.io;
  const connection = await session.connect();
  for (let i = 0; i < count && !signal.aborted; i++) {
    if (i > 0) {
      await setTimeout(TOP_INTERVAL_MS, undefined, { signal })
        .catch(() => undefined);
    }
    if (signal.aborted) break;
    const status = await connection.read((calls) => calls.status.query());
    const views = await Promise.all(
      ["instances", "targets", "workspaces"].map(async (view) => ({
        view,
        rows: await VIEWS[view]?.(connection) ?? [],
      })),
    );
    session.io.out(renderFrame(session, { status: { ...status }, views }));
  }
  return EXIT.ok;
}

interface TopFrame {
  readonly status: Row;
  readonly views: readonly {
    readonly view: string;
    readonly rows: readonly Row[];
  }[];
}

function renderFrame(session: Session, frame: TopFrame): string {
  const { status, views } = frame;
  if (session.format === "json") {
    const named = views.map(({ view, rows }) => [view, rows]);
    return JSON.stringify({ status, ...Object.fromEntries(named) });
  }
  const tables = views.map(({ view, rows }) => `${view}\n${formatTable(rows)}`);
  return [CLEAR_SCREEN + formatResult(status, "table"), ...tables].join("\n\n");
}
