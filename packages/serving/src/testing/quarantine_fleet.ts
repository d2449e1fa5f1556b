/** Instances that exchange what they know of crashes, without a network.
 *
 * @module
 */
import { Quarantine } from "../quarantine/quarantine.ts";
import type { PeerReport } from "../quarantine/quarantine_records.ts";
import type { Suspects } from "../quarantine/select_suspects.ts";
import type { ReportRow } from "../report_row.ts";

/** Time between two exchanges of reports, in milliseconds. */
export const DIGEST_MS = 200;

/** Time after which all have reported their suspects, in milliseconds. */
export const SETTLE_MS = 450;

/** As in digests: values are sent when they change, and all of them each tenth
 * time. */
export const REFRESH_EVERY_DIGESTS = 10;

/** Instances that exchange reports, and engines that end when a request with a
 * bad suspect begins there. */
export class QuarantineFleet {
  now = 0;
  readonly instances = new Map<string, Quarantine>();
  readonly cutOff = new Set<string>();
  /** Requests that wait for a decision. */
  #waiting: {
    readonly name: string;
    readonly suspects: Suspects;
    readonly isBad: (suspects: Suspects) => boolean;
    readonly resendAt: number;
  }[] = [];
  /** When requests with a bad suspect were sent. */
  readonly sentAt: number[] = [];
  /** Sound requests that were refused. */
  refusedSound = 0;
  #crashCount = 0;
  #nextDigestAt = DIGEST_MS;
  #digestCount = 0;
  /** The states of the values last sent, by sender. */
  readonly #sentStates = new Map<string, string>();

  constructor(instanceCount: number) {
    for (let i = 0; i < instanceCount; i += 1) this.start(`i${i}`);
  }

  /** Starts an instance without knowledge, or restarts it. */
  start(name: string): void {
    const ignore = () => undefined;
    this.instances.set(
      name,
      new Quarantine(name, {
        onHold: ignore,
        onRelease: ignore,
        settleMs: () => SETTLE_MS,
      }),
    );
    this.#sentStates.clear();
  }

  /** Sends requests to one engine at once. A bad one ends the engine before any
   * of them gets past its beginning. */
  send(
    requests: readonly (readonly [instance: string, suspects: Suspects])[],
    isBad: (suspects: Suspects) => boolean,
  ): void {
    const sent = requests.flatMap(([name, suspects]) => {
      const decision = this.#decide(name, suspects);
      if (decision.kind === "wait") {
        const resendAt = this.now + decision.ms;
        this.#waiting.push({ name, suspects, isBad, resendAt });
        return [];
      }
      if (decision.kind !== "refuse") {
        const trial = decision.kind === "trial" ? decision.suspect : undefined;
        if (trial !== undefined) this.#get(name).startTrial(trial, this.now);
        if (isBad(suspects)) this.sentAt.push(this.now);
        return [{ name, suspects, trial }];
      }
      if (!isBad(suspects)) this.refusedSound += 1;
      return [];
    });
    if (sent.some(({ suspects }) => isBad(suspects))) {
      this.crash(sent.map(({ name, suspects }) => [name, suspects]));
      return;
    }
    for (const { name, suspects, trial } of sent) {
      this.#get(name).recordAnswer(suspects, { trial, now: this.now });
    }
  }

  /** An engine ends that runs these requests. */
  crash(suspects: readonly (readonly [string, Suspects])[]): void {
    this.#crashCount += 1;
    for (const name of new Set(suspects.map(([name]) => name))) {
      this.#get(name).recordCrash(
        `e${this.#crashCount}@1`,
        suspects.filter(([other]) => other === name).map(([, suspects]) =>
          suspects
        ),
        { at: this.now, now: this.now },
      );
    }
  }

  /** Lets time pass; digests are exchanged. */
  pass(ms: number): void {
    const until = this.now + ms;
    while (this.#nextDigestAt <= until) {
      this.now = this.#nextDigestAt;
      this.#nextDigestAt += DIGEST_MS;
      this.#exchange();
      this.#resend();
    }
    this.now = until;
    this.#resend();
  }

  #resend(): void {
    const due = this.#waiting.filter(({ resendAt }) => resendAt <= this.now);
    this.#waiting = this.#waiting.filter((w) => !due.includes(w));
    for (const { name, suspects, isBad } of due) {
      this.send([[name, suspects]], isBad);
    }
  }

  isHeldEverywhere(suspect: string): boolean {
    return [...this.instances.values()].every((q) =>
      q.beliefOn(suspect).isHeld
    );
  }

  #decide(name: string, suspects: Suspects) {
    const instances = {
      names: [...this.instances.keys()],
      isCutOff: this.cutOff.has(name),
    };
    return this.#get(name).decide(suspects, () => instances, this.now);
  }

  #get(name: string): Quarantine {
    const instance = this.instances.get(name);
    if (instance === undefined) throw new Error(`no instance ${name}`);
    return instance;
  }

  #exchange(): void {
    this.#digestCount += 1;
    if (this.#digestCount % REFRESH_EVERY_DIGESTS === 0) {
      this.#sentStates.clear();
    }
    for (const [from, sender] of this.instances) {
      const states = statesOf(sender, this.now);
      if (this.#sentStates.get(from) === states) continue;
      this.#sentStates.set(from, states);
      const report = toPeerReport(sender, this.now);
      for (const [to, receiver] of this.instances) {
        if (from === to || this.cutOff.has(from) || this.cutOff.has(to)) {
          continue;
        }
        receiver.receive(from, report, this.now);
      }
    }
  }
}

function statesOf(sender: Quarantine, now: number): string {
  return Object.values(sender.report(now)).flat().map(([name, state]) =>
    `${name}=${state}`
  ).join(" ");
}

function toPeerReport(sender: Quarantine, now: number): PeerReport {
  const byName = <T>(rows: readonly ReportRow<T>[]) =>
    Object.fromEntries(rows.map(([name, , value]) => [name, value]));
  const { crashes, answers, holds } = sender.report(now);
  return JSON.parse(JSON.stringify({
    crashes: byName(crashes),
    answers: byName(answers),
    holds: byName(holds),
  })) as PeerReport;
}
