/** Shares the memory for bodies of requests among workspaces.
 *
 * @module
 */

/** How many times the room that is free one workspace may use. Alone it gets two
 * thirds of all room; the rest is there for others that come. */
const SHARE_OF_FREE = 2;

/** The bodies that an instance keeps, each until its request has ended, since it
 * may have to be sent again.
 *
 * @example
 * ```ts
 * if (!room.take(workspace, chunk.length)) refuse(503);
 * ```
 */
export class BodyRoom {
  readonly #maxBytes: number;
  readonly #usedBytes = new Map<string, number>();
  #sumBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Whether the workspace may use so many bytes more at present. */
  has(workspace: string, bytes: number): boolean {
    const used = (this.#usedBytes.get(workspace) ?? 0) + bytes;
    const free = this.#maxBytes - this.#sumBytes - bytes;
    return free >= 0 && used <= SHARE_OF_FREE * free;
  }

  /** Takes room if there is any; returns whether there was. */
  take(workspace: string, bytes: number): boolean {
    if (!this.has(workspace, bytes)) return false;
    this.#add(workspace, bytes);
    return true;
  }

  /** Gives room back. */
  release(workspace: string, bytes: number): void {
    this.#add(workspace, -bytes);
  }

  #add(workspace: string, bytes: number): void {
    this.#sumBytes += bytes;
    const used = (this.#usedBytes.get(workspace) ?? 0) + bytes;
    if (used === 0) this.#usedBytes.delete(workspace);
    else this.#usedBytes.set(workspace, used);
  }
}
