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
    /** Slots of each upstream that the request leaves free for others; none by default. */
    readonly slotsLeftFree?: number;
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

/**
 * Dispatches a request, unless one that can go to the same upstreams and leaves no more slots free could not be sent; adds
 * to `unmet` what it waits for where it cannot be sent.
 */
function dispatchUnlessUnmet(request: WaitingRequest, unmet: Map<string, number>): void {
    const { isWaiting, waitKey } = request;
    const unmetSlots = waitKey === undefined ? undefined : unmet.get(waitKey);
    if (!isWaiting || (unmetSlots !== undefined && (request.slotsLeftFree ?? 0) >= unmetSlots)) {
        return;
    }
    request.dispatch();
    if (waitKey !== undefined && request.isWaiting) {
        unmet.set(waitKey, request.slotsLeftFree ?? 0);
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
    const unmet = new Map<string, number>();
    return arrange(ranked).map(({ request }) => () => dispatchUnlessUnmet(request, unmet));
}
