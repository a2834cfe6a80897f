/**
 * Reads the shared state from a peer.
 *
 * @module
 */
import { get } from "node:http";
import { type SharedState, sharedStateSchema } from "../generated/gossip.js";
import { parseJson } from "../platform/parseJson.js";

const TIMEOUT_MILLISECONDS = 1_000;

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
            const pieces: Buffer[] = [];
            answer.on("data", (piece: Buffer) => pieces.push(piece));
            answer.on("error", () => resolve(undefined));
            answer.on("end", () => {
                const text = Buffer.concat(pieces).toString("utf8");
                const state = answer.statusCode === STATUS_OK
                    ? sharedStateSchema.safeParse(parseJson(text))
                    : undefined;
                resolve(state?.data);
            });
        });
        request.on("error", () => resolve(undefined));
        request.setTimeout(TIMEOUT_MILLISECONDS, () => void request.destroy(new Error("no answer in time")));
    });
}
