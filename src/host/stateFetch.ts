/**
 * Fetches residency and suspects from a peer before a starting host is advertised.
 *
 * @module
 */
import { type HostIdentity, type SharedState } from "../generated/peers.js";
import { type HostContext } from "./context.js";

/** A starting host that finds no live peer within this time is treated as the first host of the deployment. */
const FIRST_HOST_TIMEOUT_MILLISECONDS = 3000;
const RETRY_INTERVAL_MILLISECONDS = 500;

/** A fetch in progress. */
export interface StateFetch {
    /** Returns whether a peer has answered, or none was found in time. */
    isDone(): boolean;
    close(): void;
}

/** Options of {@linkcode startStateFetch}. */
export interface StateFetchOptions {
    readonly livePeers: () => readonly HostIdentity[];
    readonly onState: (state: SharedState) => void;
    readonly onDone: () => void;
}

/**
 * Requests the state from live peers in turn until one answers.
 *
 * @param context Settings, clients and observability of this host.
 * @param options The peers, and callbacks for the state and for the end of the fetch.
 *
 * @example
 * ```ts
 * const fetch = startStateFetch(context, { livePeers, onState, onDone });
 * fetch.close();
 * ```
 */
export function startStateFetch(context: HostContext, options: StateFetchOptions): StateFetch {
    const startedAt = context.clock();
    let done = false;
    let attempts = 0;
    let timer: NodeJS.Timeout | undefined = setTimeout(() => void attempt(), 0);

    async function attempt(): Promise<void> {
        const peers = options.livePeers();
        const peer = peers[attempts % Math.max(1, peers.length)];
        attempts += 1;
        const answer = peer === undefined
            ? undefined
            : await context.peers.get(peer.peersUrl, peer.peersUrl).fetchSharedState();
        if (answer?.isOk() === true) {
            options.onState(answer.value);
            finish();
        }
        else if (peer === undefined && context.clock() - startedAt > FIRST_HOST_TIMEOUT_MILLISECONDS) {
            finish();
        }
        else if (timer !== undefined) {
            timer = setTimeout(() => void attempt(), RETRY_INTERVAL_MILLISECONDS);
        }
    }

    function finish(): void {
        done = true;
        timer = undefined;
        options.onDone();
    }

    return {
        isDone: () => done,
        close() {
            clearTimeout(timer);
            timer = undefined;
        },
    };
}
