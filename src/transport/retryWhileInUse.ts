/**
 * Binds addresses that another process still holds, or that the machine does not have yet.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";

const RETRY_INTERVAL_MILLISECONDS = 50;

/** Interval at which a wait that goes on is reported. */
const REPORT_INTERVAL_MILLISECONDS = 5_000;

/** A machine that boots has its addresses within this time; an address that is not its own never comes. */
const OWN_ADDRESS_MILLISECONDS = 3_000;

/** Why an address cannot be bound yet. */
export type BindObstacle =
    /** Another process holds it. */
    | "in-use"
    /** The machine does not have it. */
    | "not-available";

/** Options of {@linkcode retryWhileInUse}. */
export interface RetryWhileInUseOptions {
    /** Called before the wait and at intervals while it goes on, with the time waited. */
    readonly onWaiting: (obstacle: BindObstacle, waitedMilliseconds: number) => void;
    /** Ends the wait. */
    readonly signal: AbortSignal;
}

const OBSTACLES: ReadonlyMap<string | undefined, BindObstacle> = new Map([
    ["EADDRINUSE", "in-use"],
    ["EADDRNOTAVAIL", "not-available"],
]);

/** Returns why an address may be bound later; `undefined` where another try would fail too. */
function passingObstacle(error: unknown, waitedMilliseconds: number): BindObstacle | undefined {
    const obstacle = error instanceof Error ? OBSTACLES.get((error as NodeJS.ErrnoException).code) : undefined;
    return obstacle === "not-available" && waitedMilliseconds >= OWN_ADDRESS_MILLISECONDS ? undefined : obstacle;
}

/**
 * Binds an address, and tries again while another process holds it, such as one that leaves there or is about to be
 * killed, and for a few seconds while the machine does not have it.
 *
 * @param bind Binds the address.
 * @param options A callback for the wait, and what ends it.
 * @returns What `bind` resolved to.
 * @throws Rejects with the error of `bind` where it is another one, or the machine does not get the address.
 *
 * @example
 * ```ts
 * const server = await retryWhileInUse(() => listen(createServer(), address), { onWaiting, signal });
 * ```
 */
export async function retryWhileInUse<Bound>(
    bind: () => Promise<Bound>,
    { onWaiting, signal }: RetryWhileInUseOptions,
): Promise<Bound> {
    const startedAt = performance.now();
    let reportedAt = -Infinity;
    for (;;) {
        try {
            return await bind();
        }
        catch (error) {
            const now = performance.now();
            const obstacle = passingObstacle(error, now - startedAt);
            if (obstacle === undefined) {
                throw error;
            }
            if (now - reportedAt >= REPORT_INTERVAL_MILLISECONDS) {
                reportedAt = now;
                onWaiting(obstacle, Math.round(now - startedAt));
            }
        }
        await delay(RETRY_INTERVAL_MILLISECONDS, undefined, { signal });
    }
}
