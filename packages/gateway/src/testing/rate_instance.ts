/** Instances that share the rate of a workspace, and reach each other at once.
 *
 * @module
 */
import { ManualClocks, type Member, MemberTable } from "@banyanlb/serving";
import { hearOf, memberOf } from "@banyanlb/serving/testing";
import type { PeerMessage } from "../peer_messages.ts";
import type { RateRefusal } from "../rate_borrower.ts";
import { WorkspaceRates } from "../workspace_rates.ts";

/** The window of the rate, in milliseconds. */
export const WINDOW_MS = 8000;
/** A workspace with a rate. */
export const WORKSPACE = {
  name: "w",
  keys: [],
  priority: undefined,
  countsTokens: true,
  defaultTokens: 10,
  ratePerSecond: 1000,
  burst: 2000,
};
/** What each of two instances may admit within a window. */
export const SHARE_UNITS = 5000;

/** An instance whose messages reach the others at once, unless one is silent.
 * Its process started long ago. */
export class RateInstance {
  readonly member: Member;
  readonly rates: WorkspaceRates;
  readonly members: MemberTable;
  readonly clocks = new ManualClocks();
  /** How long a question to this instance takes, in milliseconds; undefined if
   * it is not answered in time. */
  responseMs: number | undefined = 0;
  /** Numbers of the questions whose units were given back. */
  readonly returned: number[] = [];
  peers: readonly RateInstance[] = [];
  #asked = 0;

  constructor(member: Member, areMembersKnown = () => true) {
    this.member = member;
    this.members = new MemberTable(member.name, 0);
    this.rates = new WorkspaceRates({
      self: member,
      members: this.members,
      areMembersKnown,
      clocks: this.clocks,
      windowMs: WINDOW_MS,
      links: () => ({
        ask: (address, buildRequest, timeoutMs) =>
          Promise.resolve(this.#ask(address, buildRequest, timeoutMs)),
        send: (address, message) => this.#send(address, message),
      }),
    });
  }

  meet(peer: RateInstance): void {
    this.peers = [...this.peers, peer];
    this.members.add(peer.member);
    // The tests begin a window after the start of the process.
    const heardAt = performance.now() + WINDOW_MS;
    hearOf(this.members, peer.member.name, { now: heardAt });
  }

  take(units: number) {
    return this.rates.take("w", { units, waitMaxMs: 1000 });
  }

  #ask(
    address: string,
    buildRequest: (n: number) => PeerMessage,
    timeoutMs: number,
  ): PeerMessage | undefined {
    const peer = this.peers.find(({ member }) => member.name === address);
    const request = buildRequest(++this.#asked);
    if (peer === undefined || request.t !== "take") return undefined;
    let reply: PeerMessage | undefined;
    peer.rates.lend(this.member.name, request, (message) => reply = message);
    this.clocks.advance(peer.responseMs ?? timeoutMs);
    return peer.responseMs === undefined ? undefined : reply;
  }

  #send(address: string, message: PeerMessage): boolean {
    const peer = this.peers.find(({ member }) => member.name === address);
    if (message.t !== "return") return false;
    this.returned.push(message.n);
    peer?.rates.takeBack(this.member.name, message.n);
    return true;
  }
}

/** Instances that have met each other. */
export function createFleet(
  names: readonly string[],
): readonly RateInstance[] {
  const fleet = names.map((name) => new RateInstance(memberOf(name)));
  for (const a of fleet) {
    for (const b of fleet) if (a !== b) a.meet(b);
  }
  return fleet;
}

/** Begins to limit a workspace, longer than a window after the start of the
 * instances' processes. */
export function startLimit(
  instances: readonly RateInstance[],
  workspace = WORKSPACE,
): void {
  for (const { rates } of instances) {
    rates.setWorkspaces([workspace], WINDOW_MS + 1);
  }
}

/** Two instances that share the limit of the workspace. */
export function createPair(): readonly [RateInstance, RateInstance] {
  const first = new RateInstance(memberOf("i1"));
  const second = new RateInstance(memberOf("i2"));
  first.meet(second);
  second.meet(first);
  startLimit([first, second]);
  return [first, second];
}

/** Units left of an instance's share. */
export function levelOf({ rates }: RateInstance): number | undefined {
  return rates.states(performance.now())[0]?.left;
}

/** Whether units were refused. */
export function isRefusal(taken: unknown): taken is RateRefusal {
  return typeof taken === "object" && taken !== null && "waitMs" in taken;
}
