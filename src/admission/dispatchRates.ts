/**
 * How many waiting requests this host can send a second.
 *
 * @module
 */
import { type WaitEstimate, type WaitOutcome } from "./types.js";

/** Time with waiting requests after which a dispatch counts half. */
const BUSY_HALF_LIFE_MILLISECONDS = 3_000;

/** Time without waiting requests after which a dispatch counts half. */
const IDLE_HALF_LIFE_MILLISECONDS = 10_000;

/** Dispatches, as far as they still count, from which a wait can be called sure. */
const MINIMUM_DISPATCHES = 4;

/** Standard deviations that a sure wait is below the expected one, for the rate and for the requests in front. */
const SURE_DEVIATIONS = 0.75;

/** Groups without waiting requests are forgotten after this time. */
const GROUP_LIFETIME_MILLISECONDS = 60_000;

const MILLISECONDS_PER_SECOND = 1_000;

interface Group {
    /** Requests that wait. */
    waiting: number;
    /** Dispatches of waiting requests, as far as they still count. */
    dispatches: number;
    /** Waiting requests that left without a dispatch, likewise; those behind them move up, too. */
    left: number;
    /** The time in which they took place, without that in which none waited. */
    busyMilliseconds: number;
    updatedAtMilliseconds: number;
}

/** Adds the time since the last update to a group, and reduces what it counts of the time before. */
function advance(group: Group, nowMilliseconds: number): void {
    const elapsed = Math.max(0, nowMilliseconds - group.updatedAtMilliseconds);
    group.updatedAtMilliseconds = nowMilliseconds;
    const halfLife = group.waiting > 0 ? BUSY_HALF_LIFE_MILLISECONDS : IDLE_HALF_LIFE_MILLISECONDS;
    const kept = 0.5 ** (elapsed / halfLife);
    group.dispatches *= kept;
    group.left *= kept;
    group.busyMilliseconds *= kept;
    if (group.waiting > 0) {
        group.busyMilliseconds += (1 - kept) * BUSY_HALF_LIFE_MILLISECONDS / Math.LN2;
    }
}

/**
 * Measures the rate at which waiting requests are dispatched, for each group of requests that can go to the same
 * upstreams. Time without waiting requests does not count: dispatches are then as rare as requests.
 *
 * @example
 * ```ts
 * const rates = new DispatchRates();
 * rates.recordBegun("chat", now);
 * rates.recordEnded("chat", "sent", now + 40);
 * const estimate = rates.estimate("chat", 3, now + 50);
 * ```
 */
export class DispatchRates {
    readonly #groups = new Map<string, Group>();

    /** Records that a request of a group begins to wait. */
    recordBegun(key: string, nowMilliseconds: number): void {
        const group = this.#groups.get(key)
            ?? { waiting: 0, dispatches: 0, left: 0, busyMilliseconds: 0, updatedAtMilliseconds: nowMilliseconds };
        this.#groups.set(key, group);
        advance(group, nowMilliseconds);
        group.waiting += 1;
    }

    /** Records that a request of a group has ceased to wait. */
    recordEnded(key: string, outcome: WaitOutcome, nowMilliseconds: number): void {
        const group = this.#groups.get(key);
        if (group === undefined) {
            return;
        }
        advance(group, nowMilliseconds);
        group.waiting = Math.max(0, group.waiting - 1);
        group.dispatches += outcome === "sent" ? 1 : 0;
        group.left += outcome === "left" ? 1 : 0;
    }

    /** Returns the requests of a group that wait. */
    waiting(key: string): number {
        return this.#groups.get(key)?.waiting ?? 0;
    }

    /**
     * Returns the expected wait of a request of a group; `undefined` where none was dispatched lately.
     *
     * @param key The group.
     * @param inFront Requests of the group that are dispatched before.
     * @param nowMilliseconds The time.
     */
    estimate(key: string, inFront: number, nowMilliseconds: number): WaitEstimate | undefined {
        const group = this.#groups.get(key);
        if (group === undefined) {
            return undefined;
        }
        advance(group, nowMilliseconds);
        const { busyMilliseconds, dispatches, left } = group;
        if (dispatches < 0.5 || busyMilliseconds <= 0) {
            return undefined;
        }
        const turns = inFront + 1;
        const moves = dispatches + left;
        const mostMoves = moves + SURE_DEVIATIONS * Math.sqrt(moves) + 1;
        const fewestTurns = Math.max(0, turns - SURE_DEVIATIONS * Math.sqrt(turns));
        return {
            inFront,
            perSecond: dispatches / busyMilliseconds * MILLISECONDS_PER_SECOND,
            doubt: 1 / Math.sqrt(dispatches),
            expectedMilliseconds: turns * busyMilliseconds / dispatches,
            surelyMilliseconds: dispatches < MINIMUM_DISPATCHES || inFront === 0
                ? 0
                : fewestTurns * busyMilliseconds / mostMoves,
        };
    }

    /** Forgets groups in which no request has waited for long. */
    prune(nowMilliseconds: number): void {
        for (const [key, { updatedAtMilliseconds, waiting }] of this.#groups) {
            if (waiting === 0 && nowMilliseconds - updatedAtMilliseconds > GROUP_LIFETIME_MILLISECONDS) {
                this.#groups.delete(key);
            }
        }
    }
}
