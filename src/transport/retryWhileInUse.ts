/**
 * Binds addresses that another process may still hold.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";

const RETRY_INTERVAL_MILLISECONDS = 50;
const ADDRESS_IN_USE = "EADDRINUSE";

/** Options of {@linkcode retryWhileInUse}. */
export interface RetryWhileInUseOptions {
    /** Time for which the address may be in use. */
    readonly limitMilliseconds: number;
    /** The address is in use; called once, before the wait. */
    readonly onInUse: () => void;
}

/** Returns whether an error says that another process holds an address. */
function isAddressInUse(error: unknown): boolean {
    return error instanceof Error && (error as NodeJS.ErrnoException).code === ADDRESS_IN_USE;
}

/**
 * Binds an address, and tries again while another process holds it, such as one that leaves there.
 *
 * @param bind Binds the address.
 * @param options How long to try, and a callback for the first address in use.
 * @returns What `bind` resolved to.
 * @throws Rejects with the error of `bind` where it is another one, or the address is in use beyond the limit.
 *
 * @example
 * ```ts
 * const server = await retryWhileInUse(() => listen(createServer(), address), { limitMilliseconds: 8_000, onInUse });
 * ```
 */
export async function retryWhileInUse<Bound>(
    bind: () => Promise<Bound>,
    { limitMilliseconds, onInUse }: RetryWhileInUseOptions,
): Promise<Bound> {
    const endMilliseconds = performance.now() + limitMilliseconds;
    for (let isFirst = true;; isFirst = false) {
        try {
            return await bind();
        }
        catch (error) {
            if (!isAddressInUse(error) || performance.now() >= endMilliseconds) {
                throw error;
            }
        }
        if (isFirst) {
            onInUse();
        }
        await delay(RETRY_INTERVAL_MILLISECONDS);
    }
}
