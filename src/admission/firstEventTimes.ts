/**
 * How long services take to send a first event.
 *
 * @module
 */

/** Times from which those of a service are known. */
const MINIMUM_TIMES = 20;

/** Share by which one time moves the estimates. */
const STEP_SHARE = 0.05;

/** Share of the times that are below the shortest one that counts. */
const SHORT_SHARE = 0.1;
const USUAL_SHARE = 0.5;

interface Times {
    count: number;
    shortMilliseconds: number;
    usualMilliseconds: number;
}

/** Moves an estimate so that a share of the times is below it. */
function moveQuantile(estimate: number, time: number, share: number): number {
    return estimate * (time < estimate ? 1 - STEP_SHARE * (1 - share) : 1 + STEP_SHARE * share);
}

/**
 * Estimates by service how long sent requests take to their first event, or to their answer where it is no stream.
 *
 * @example
 * ```ts
 * const times = new FirstEventTimes();
 * times.record("chat", 85);
 * const usual = times.usual("chat"); // 0: too few are known
 * ```
 */
export class FirstEventTimes {
    readonly #services = new Map<string, Times>();

    record(service: string, milliseconds: number): void {
        const time = Math.max(1, milliseconds);
        const times = this.#services.get(service);
        if (times === undefined) {
            this.#services.set(service, { count: 1, shortMilliseconds: time, usualMilliseconds: time });
            return;
        }
        times.count += 1;
        times.shortMilliseconds = moveQuantile(times.shortMilliseconds, time, SHORT_SHARE);
        times.usualMilliseconds = moveQuantile(times.usualMilliseconds, time, USUAL_SHARE);
    }

    /** Returns a time that few requests of a service fall below; 0 where too little is known. */
    short(service: string): number {
        const times = this.#services.get(service);
        return times === undefined || times.count < MINIMUM_TIMES ? 0 : times.shortMilliseconds;
    }

    /** Returns the median time of a service's requests; 0 where too little is known. */
    usual(service: string): number {
        const times = this.#services.get(service);
        return times === undefined || times.count < MINIMUM_TIMES ? 0 : times.usualMilliseconds;
    }
}
