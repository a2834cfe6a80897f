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

/** A waiting request with its rank. */
export interface RankedRequest<Request> {
    readonly request: Request;
    readonly rank: WaitingRank;
}

/** Options of {@linkcode dispatchInOrder}. */
export interface DispatchInOrderOptions<Request> {
    /** True where requests that lack a copy are not left out. */
    readonly includesLacking: boolean;
    /** Changes the order of the sorted requests; leaves it by default. */
    readonly arrange?: (sorted: readonly RankedRequest<Request>[]) => readonly RankedRequest<Request>[];
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
 * @param options Which are dispatched, and in which order.
 *
 * @example
 * ```ts
 * acts.runInTurns(dispatchInOrder(exchanges, { includesLacking: false }));
 * ```
 */
export function dispatchInOrder<Request extends WaitingRequest>(
    requests: Iterable<Request>,
    { arrange = sorted => sorted, includesLacking }: DispatchInOrderOptions<Request>,
): (() => void)[] {
    const waiting = [...requests].filter(request => request.isWaiting && (includesLacking || !request.lacksCopies));
    const ranked = waiting.map(request => ({ request, rank: request.rank }));
    ranked.sort((left, right) => compareRanks(left.rank, right.rank));
    const unmetKeys = new Set<string>();
    return arrange(ranked).map(({ request }) => () => dispatchUnlessUnmet(request, unmetKeys));
}
