/**
 * Reads the shared state from a peer.
 *
 * @module
 */
import { get } from "node:http";
import { type SharedState, sharedStateSchema } from "../generated/gossip.js";
import { parseJson } from "../platform/parseJson.js";
import { readLimited } from "../transport/index.js";

/** A peer that says nothing for this long is given up. */
const SILENCE_MILLISECONDS = 1_000;

/** The whole state is there by then, or not at all. */
const LONGEST_MILLISECONDS = 3_000;

const MOST_BYTES = 16 * 1024 * 1024;

/** Path under which hosts serve their shared state. */
export const STATE_PATH = "/state";

const STATUS_OK = 200;

/**
 * Reads a peer's shared state.
 *
 * @param address The peer's state address, an IP number and a port.
 * @returns The state; `undefined` where the peer gave none.
 *
 * @example
 * ```ts
 * const state = await fetchState("10.2.0.40:8144");
 * ```
 */
export function fetchState(address: string): Promise<SharedState | undefined> {
    return new Promise(resolve => {
        const request = get(`http://${address}${STATE_PATH}`, { agent: false }, answer => {
            readLimited(answer, MOST_BYTES).then(text => {
                const state = answer.statusCode === STATUS_OK && text !== undefined
                    ? sharedStateSchema.safeParse(parseJson(text))
                    : undefined;
                resolve(state?.data);
            }, () => resolve(undefined));
        });
        const timer = setTimeout(
            () => void request.destroy(new Error("no whole answer in time")),
            LONGEST_MILLISECONDS,
        );
        request.on("close", () => clearTimeout(timer));
        request.on("error", () => resolve(undefined));
        request.setTimeout(SILENCE_MILLISECONDS, () => void request.destroy(new Error("no answer in time")));
    });
}
