/** Client of the stand-ins' control API.
 *
 * @module
 */

/** Calls the control API of one stand-in. */
export class ControlClient {
  readonly url: string;

  constructor(url: string) {
    this.url = url;
  }

  /** Returns everything that the stand-in has recorded. */
  async record<T>(): Promise<T> {
    const res = await fetch(`${this.url}/_control/record`);
    return await res.json() as T;
  }

  /** Sets faults. Faults that are not named stay unchanged. */
  async setFaults(faults: object): Promise<void> {
    await this.post("faults", faults);
  }

  /** Clears every fault. */
  async reset(): Promise<void> {
    await this.post("reset", {});
  }

  /** Calls a control by name. Throws unless the response has a success
   * status. */
  async post(name: string, body: object): Promise<void> {
    const res = await fetch(`${this.url}/_control/${name}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    });
    const text = await res.text();
    if (!res.ok) throw new Error(`${this.url} ${name}: ${res.status} ${text}`);
  }
}
