/**
 * Dispatches waiting requests after a change.
 *
 * @module
 */
import { compareRanks, type WaitingRank } from "./waitingRank.js";

/** A request that may be waiting. */
export interface WaitingRequest {
    readonly isWaiting: boolean;
    readonly rank: WaitingRank;
    /** Equal for requests that can go to the same upstreams; `undefined` for one that only its own dispatch decides. */
    readonly waitKey: string | undefined;
    /** True while no upstream holds what the request needs, and nothing has changed in this since its last dispatch. */
    readonly lacksCopies: boolean;
    dispatch(): void;
}

/** Dispatches a request; adds to `unmetKeys` what it waits for where it cannot be sent. */
function dispatchUnlessUnmet(request: WaitingRequest, unmetKeys: Set<string>): void {
    const { isWaiting, waitKey } = request;
    if (!isWaiting || (waitKey !== undefined && unmetKeys.has(waitKey))) {
        return;
    }
    request.dispatch();
    if (waitKey !== undefined && request.isWaiting) {
        unmetKeys.add(waitKey);
    }
}

/**
 * Returns a step for each waiting request, the most urgent first, that dispatches it. Requests that cannot be sent now,
 * as far as is known, are left out: those that lack a copy as before, and those that can go where one before them could
 * not.
 *
 * @param requests The requests.
 * @param options.includesLacking True where those that lack a copy are not left out.
 *
 * @example
 * ```ts
 * acts.runInTurns(dispatchInOrder(exchanges, { includesLacking: false }));
 * ```
 */
export function dispatchInOrder(
    requests: Iterable<WaitingRequest>,
    { includesLacking }: { readonly includesLacking: boolean; },
): (() => void)[] {
    const waiting = [...requests].filter(request => request.isWaiting && (includesLacking || !request.lacksCopies));
    const ranked = waiting.map(request => ({ request, rank: request.rank }));
    ranked.sort((left, right) => compareRanks(left.rank, right.rank));
    const unmetKeys = new Set<string>();
    return ranked.map(({ request }) => () => dispatchUnlessUnmet(request, unmetKeys));
}
