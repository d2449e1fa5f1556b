/** Units of this instance's shares that were lent and may be given back.
 *
 * @module
 */
import type { MemberTable, TakenUnits, TokenRate } from "@banyanlb/serving";

/** Loans that can be given back. Older ones leave the window on their own. */
const LOANS_KEPT_MAX = 4096;

interface Loan {
  readonly rate: TokenRate;
  readonly taken: TakenUnits;
}

/** Units that were lent, by borrower and number of its request. */
export class LentUnits {
  readonly #members: Pick<MemberTable, "get">;
  /** Oldest first. */
  readonly #loans = new Map<string, Loan>();

  constructor(members: Pick<MemberTable, "get">) {
    this.#members = members;
  }

  /** Records the loan for the request `n` of an instance; none if it was
   * refused. */
  record(from: string, n: number, loan: Loan | undefined): void {
    const key = this.#keyOf(from, n);
    this.#loans.delete(key);
    if (loan === undefined) return;
    this.#loans.set(key, loan);
    for (const [oldest] of this.#loans) {
      if (this.#loans.size <= LOANS_KEPT_MAX) return;
      this.#loans.delete(oldest);
    }
  }

  /** Takes back what was lent for the request `n` of an instance. */
  takeBack(from: string, n: number): void {
    const key = this.#keyOf(from, n);
    const loan = this.#loans.get(key);
    if (loan === undefined) return;
    this.#loans.delete(key);
    loan.rate.refund(loan.taken, performance.now());
  }

  /** Numbers begin anew with each process of the borrower. */
  #keyOf(from: string, n: number): string {
    return `${from} ${this.#members.get(from)?.incarnation} ${n}`;
  }
}
