import { REPORT_LAG_MILLISECONDS } from "./_engineReports.js";
import { expectedLoadMilliseconds } from "./loadTime.js";

/** A load fails once it takes this many times as long as a load from the weight store. */
const LOAD_TIMEOUT_FACTOR = 4;

/** Interval at which an engine's report is read while its load is overdue and no announcement lists the model. */
const LOAD_REPORT_INTERVAL_MILLISECONDS = 500;

/** Minimum time after which a load counts as failed, however fast the weight store is expected to be. */
const MINIMUM_LOAD_TIMEOUT_MILLISECONDS = 3_000;

/** Options of {@linkcode OpenLoad}. */
export interface OpenLoadOptions {
    readonly model: string;
    /** Expected duration of a load of the model from the weight store. */
    readonly storeLoadMilliseconds: number;
    /** True where the engine has the weights in its host memory or on its disk. */
    readonly hasLocalWeights: boolean;
}

/** A load of a model that an engine has accepted, and of whose end nothing is known. */
export class OpenLoad {
    readonly model: string;
    /** When the engine's report is read, unless an announcement has listed the model by then. */
    #reportAtMilliseconds: number;
    /** When the load counts as failed. */
    readonly #timeoutAtMilliseconds: number;

    constructor({ hasLocalWeights, model, storeLoadMilliseconds }: OpenLoadOptions, nowMilliseconds: number) {
        const expectedMilliseconds = expectedLoadMilliseconds({ storeLoadMilliseconds }, hasLocalWeights);
        const timeoutMilliseconds = Math.max(
            MINIMUM_LOAD_TIMEOUT_MILLISECONDS,
            storeLoadMilliseconds * LOAD_TIMEOUT_FACTOR,
        );
        this.model = model;
        this.#reportAtMilliseconds = nowMilliseconds + expectedMilliseconds + REPORT_LAG_MILLISECONDS;
        this.#timeoutAtMilliseconds = nowMilliseconds + timeoutMilliseconds;
    }

    /** Returns whether the load is overdue, so that the engine's report must be read; then once an interval. */
    takeOverdue(nowMilliseconds: number): boolean {
        if (nowMilliseconds < this.#reportAtMilliseconds) {
            return false;
        }
        this.#reportAtMilliseconds = nowMilliseconds + LOAD_REPORT_INTERVAL_MILLISECONDS;
        return true;
    }

    /** Returns whether the load counts as failed. */
    hasFailed(nowMilliseconds: number): boolean {
        return nowMilliseconds > this.#timeoutAtMilliseconds;
    }
}
