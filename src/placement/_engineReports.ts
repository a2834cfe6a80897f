/** Time by which an engine's report may lag; after a conflict, reports are trusted only once it has passed. */
export const REPORT_LAG_MILLISECONDS = 500;

/** When the holder of an engine reads its report. */
export class EngineReports {
    /** When the report is due: infinite while it is being read, `undefined` where none is needed. */
    #dueAtMilliseconds: number | undefined = 0;
    /** True where an announcement has shown the end of a load while a report was being read. */
    #loadEndedMeanwhile = false;

    /** True where a report is due, now or later, or is being read. */
    get isNeeded(): boolean {
        return this.#dueAtMilliseconds !== undefined;
    }

    /** Returns whether the report is to be read now. */
    isDue(nowMilliseconds: number): boolean {
        return this.#dueAtMilliseconds !== undefined && nowMilliseconds >= this.#dueAtMilliseconds;
    }

    /** Has the report read at a time, whenever it was due before. */
    readAt(atMilliseconds: number): void {
        this.#dueAtMilliseconds = atMilliseconds;
    }

    /** Has the report read at a time, unless it is due already or is being read. */
    readOnceBy(atMilliseconds: number): void {
        this.#dueAtMilliseconds ??= atMilliseconds;
    }

    /** Has no report read. */
    stop(): void {
        this.#dueAtMilliseconds = undefined;
    }

    /** Records that the report is being read. */
    recordRequested(): void {
        this.#dueAtMilliseconds = Number.POSITIVE_INFINITY;
    }

    /** Records that an announcement shows the end of a load. */
    recordLoadEnded(): void {
        this.#loadEndedMeanwhile ||= this.#dueAtMilliseconds === Number.POSITIVE_INFINITY;
    }

    /** Returns whether a load has ended while the report was read, which may then be older; asked once a report. */
    takeLoadEnded(): boolean {
        const hasEnded = this.#loadEndedMeanwhile;
        this.#loadEndedMeanwhile = false;
        return hasEnded;
    }

    /** Forgets what concerns an earlier incarnation of the engine. */
    reset(): void {
        this.stop();
        this.#loadEndedMeanwhile = false;
    }
}
