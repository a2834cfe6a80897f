/**
 * Fetches what a starting host needs to know of the site from one of its peers, before it is advertised.
 *
 * @module
 */
import { type HostIdentity, type SharedState } from "../generated/peers.js";
import { type HostContext } from "./context.js";

/** After this time without a live peer a host counts as the site's first. */
const FIRST_HOST_MILLISECONDS = 3000;
const RETRY_MILLISECONDS = 500;

/** The running fetch. */
export interface StateFetch {
    /** True once a peer has answered, or no peer was found. */
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
 * Starts asking live peers, one after the other, until one has answered.
 *
 * @param context What the tasks of this host share.
 * @param options The peers, and what to do with the answer.
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
        else if (peer === undefined && context.clock() - startedAt > FIRST_HOST_MILLISECONDS) {
            finish();
        }
        else if (timer !== undefined) {
            timer = setTimeout(() => void attempt(), RETRY_MILLISECONDS);
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
