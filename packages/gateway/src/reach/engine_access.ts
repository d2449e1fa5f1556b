/** What follows from whether this instance has a path to engines: who orders, who
 * serves, and what others are told.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EventLog } from "@banyanlb/core";
import type {
  CallerProtocol,
  EngineAddress,
  EngineControl,
  EngineProbe,
  EngineReach,
  EngineTable,
  Member,
  MemberTable,
  ReadyMember,
  RouteTable,
} from "@banyanlb/serving";
import type { GatewayMetrics } from "../metrics.ts";
import { OwnOrderPath } from "./own_order_path.ts";
import { PassedRequests } from "./passed_requests.ts";
import { ReachWatch } from "./reach_watch.ts";
import { RequestPasser } from "./request_passer.ts";

/** Parts of the gateway that the access needs. */
export interface EngineAccessOptions {
  readonly self: Member;
  readonly members: MemberTable;
  readonly engineTable: EngineTable;
  readonly control: EngineControl;
  readonly protocol: CallerProtocol;
  readonly routeTable: () => RouteTable | undefined;
  readonly orderGapMs: number;
  readonly assignmentAgeMs: (now: number) => number;
  /** Called when engines of a service are reached again, or no longer. */
  readonly onChange: () => void;
  /** Serves a request that another instance has passed on. */
  readonly servePassed: (req: IncomingMessage, res: ServerResponse) => void;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

/** What this instance reports of its paths in digests. */
export interface AccessState {
  /** Whether it has no path to engines. */
  readonly cutOff: boolean;
  /** Whether it has no path to engines that take orders. */
  readonly ordersCut: boolean;
  /** Whether others may pass requests on to it. */
  readonly takesPassed: boolean;
}

/** The paths of this instance to engines. */
export class EngineAccess {
  /** Which engines this instance reaches. */
  readonly reach: EngineReach;
  /** Whether its orders reach engines. */
  readonly ownPath: OwnOrderPath;
  /** Passes requests on to instances that reach their engines. */
  readonly passer: RequestPasser;
  /** Serves the requests that others pass on. */
  readonly passedRequests: PassedRequests;
  readonly #options: EngineAccessOptions;
  readonly #watch: ReachWatch;

  constructor(options: EngineAccessOptions) {
    const { self } = options;
    this.#options = options;
    this.#watch = new ReachWatch(options);
    const { reach } = this.#watch;
    this.reach = reach;
    this.ownPath = new OwnOrderPath(self.name, options);
    this.passer = new RequestPasser({ ...options, reach });
    this.passedRequests = new PassedRequests({
      ...options,
      isCutOff: () => reach.isCutOff,
      serve: options.servePassed,
    });
  }

  /** What digests report. */
  get state(): AccessState {
    return {
      cutOff: this.reach.isCutOff,
      ordersCut: this.#areOrdersCut,
      takesPassed: true,
    };
  }

  /** Whether the engines of a service take orders. */
  acceptsOrders(service: string): boolean {
    const table = this.#options.routeTable();
    return table?.findService(service)?.engineClass !== undefined;
  }

  /** Decides again which engines are reached. Called a few times a second. */
  check(now: number): void {
    this.#watch.check(now);
    this.ownPath.record(!this.#areOrdersCut, now);
  }

  /** Those of the instances that are ready which callers should use: they have a
   * path to engines, unless none has. */
  preferReaching(ready: readonly ReadyMember[]): readonly ReadyMember[] {
    const { self, members } = this.#options;
    const reaching = ready.filter(({ name }) =>
      name === self.name ? !this.reach.isCutOff : !members.isCutOff(name)
    );
    return reaching.length > 0 ? reaching : ready;
  }

  /** Asks whether an engine still runs. One that refuses a connection need not have
   * ended if others refuse them as well, but only here. */
  async probe(engine: EngineAddress): Promise<EngineProbe> {
    const { control, members } = this.#options;
    const result = await control.probe(engine);
    const isCutAlone = this.reach.isCutOff &&
      members.takingPassed(performance.now()).length > 0;
    return isCutAlone ? "unknown" : result;
  }

  /** Closes the connections from and to other instances. */
  close(): void {
    this.passedRequests.close();
    this.passer.close();
  }

  /** Whether this instance has no path to engines that take orders. */
  get #areOrdersCut(): boolean {
    return [...this.reach.cutServices]
      .some((service) => this.acceptsOrders(service));
  }
}
