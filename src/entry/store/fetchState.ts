/**
 * Requests a peer's shared state over HTTP.
 *
 * @module
 */
import { get, type IncomingMessage } from "node:http";
import { type SharedState, sharedStateSchema } from "../../generated/gossip.js";
import { parseDocument } from "../../platform/parseDocument.js";
import { parseJson } from "../../platform/parseJson.js";
import { type AnswerFault, receiveAnswer } from "../../transport/answers/index.js";
import { parseAddress, readLimited } from "../../transport/index.js";

/** A request that receives no data for this long is aborted. */
const IDLE_TIMEOUT_MILLISECONDS = 1_000;

/** A request that is not complete after this time is aborted. */
const TOTAL_TIMEOUT_MILLISECONDS = 3_000;

const MAXIMUM_STATE_BYTES = 16 * 1024 * 1024;

/** Path under which hosts serve their shared state. */
export const STATE_PATH = "/state";

const STATUS_OK = 200;

/** Options of {@linkcode fetchState}. */
export interface FetchStateOptions {
    /** Called with what is wrong with a broken answer, which counts as none. */
    readonly onBroken?: (fault: AnswerFault) => void;
}

/** Reads the state from a complete answer; `undefined` where the answer is another one, or does not fit the schema. */
async function readState(answer: IncomingMessage): Promise<SharedState | undefined> {
    const text = await readLimited(answer, MAXIMUM_STATE_BYTES);
    return answer.complete && answer.statusCode === STATUS_OK && text !== undefined
        ? parseDocument(sharedStateSchema, parseJson(text)).data
        : undefined;
}

/**
 * Requests a peer's shared state.
 *
 * @param address The peer's state address, an IP number and a port.
 * @param options A callback for a broken answer.
 * @returns The state; `undefined` where the request failed, timed out, or its answer is broken or does not fit the schema.
 *
 * @example
 * ```ts
 * const state = await fetchState("10.2.0.40:8144");
 * ```
 */
export function fetchState(address: string, { onBroken }: FetchStateOptions = {}): Promise<SharedState | undefined> {
    if (parseAddress(address).isErr()) {
        return Promise.resolve(undefined);
    }
    return new Promise(resolve => {
        const request = get(`http://${address}${STATE_PATH}`, { agent: false });
        receiveAnswer(request, {
            onAnswer: answer => void readState(answer).then(resolve, () => resolve(undefined)),
            onBroken: fault => {
                onBroken?.(fault);
                resolve(undefined);
            },
        });
        const timer = setTimeout(
            () => void request.destroy(new Error("shared state not received completely in time")),
            TOTAL_TIMEOUT_MILLISECONDS,
        );
        request.on("close", () => clearTimeout(timer));
        request.on("error", () => resolve(undefined));
        request.setTimeout(
            IDLE_TIMEOUT_MILLISECONDS,
            () => void request.destroy(new Error("no data of the shared state received in time")),
        );
    });
}
