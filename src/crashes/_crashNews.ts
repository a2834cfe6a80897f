/**
 * News of crashes that peers should hear before the next digest is due.
 *
 * @module
 */

/** News are published so many times before the next digest is due, since datagrams are lost. */
const URGENT_REPORTS = 3;

/** Counts the reports and aggregates that are still to be published at once. */
export class CrashNews {
    #urgentReports = 0;
    #urgentAggregates = 0;

    /** Returns whether the next report should be published at once. */
    get isUnpublished(): boolean {
        return this.#urgentReports > 0;
    }

    /** Returns whether a representative should publish its next aggregate at once. */
    get isToBePassedOn(): boolean {
        return this.#urgentAggregates > 0;
    }

    /** Has reports and aggregates published at once. */
    announce(): void {
        this.#urgentReports = URGENT_REPORTS;
        this.passOn();
    }

    /** Has aggregates published at once: peers of the own cell know already. */
    passOn(): void {
        this.#urgentAggregates = URGENT_REPORTS;
    }

    recordReported(): void {
        this.#urgentReports = Math.max(0, this.#urgentReports - 1);
    }

    recordAggregated(): void {
        this.#urgentAggregates = Math.max(0, this.#urgentAggregates - 1);
    }
}
