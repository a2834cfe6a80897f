/**
 * Client of the peer procedures of one other host.
 *
 * @module
 */
import { createTRPCClient, httpLink, TRPCClientError } from "@trpc/client";
import { Err, Ok, type Result } from "ts-results-es";
import { request } from "undici";
import {
    type Digest,
    type ForwardedOrder,
    type OrderOutcome,
    type SharedState,
    sharedStateSchema,
    type WitnessAnswer,
    type WitnessRequest,
} from "../generated/peers.js";
import { type ConfigurationRecord } from "../generated/platform.js";
import { type BrokenAnswer } from "../observability/index.js";
import { describeFault, parseDocument } from "../platform/parseDocument.js";
import { refuseBrokenResponse } from "../transport/answers/index.js";
import { createReplaceableAgent, failedBeforeSending, type ReplaceableAgent } from "../transport/index.js";
import { type AdapterRequest, type PeerRouter } from "./router.js";

const CONNECT_TIMEOUT_MILLISECONDS = 1000;
const CALL_TIMEOUT_MILLISECONDS = 2000;
const MAXIMUM_CONNECTIONS = 8;
const MINIMUM_ERROR_STATUS = 400;

/** Failure of a call on a peer. */
export interface PeerError {
    /**
     * `not-sent`: no byte reached the peer. `no-answer`: the peer may have executed the call. `rejected`: the peer found
     * the call invalid, or its answer does not match the schema.
     */
    readonly kind: "not-sent" | "no-answer" | "rejected";
    readonly message: string;
}

/** Calls the procedures of one peer. A call that reaches its time limit retires the client's connections. */
export interface PeerClient {
    sendDigest(digest: Digest): Promise<Result<void, PeerError>>;
    fetchConfiguration(): Promise<Result<ConfigurationRecord | undefined, PeerError>>;
    fetchSharedState(): Promise<Result<SharedState, PeerError>>;
    forwardOrder(order: ForwardedOrder, timeoutMilliseconds: number): Promise<Result<OrderOutcome, PeerError>>;
    witness(request: WitnessRequest): Promise<Result<WitnessAnswer, PeerError>>;
    requestAdapter(adapter: AdapterRequest): Promise<Result<void, PeerError>>;
    close(): Promise<void>;
}

/** Options of {@linkcode createPeerClient}. */
export interface PeerClientOptions {
    /** Called with each broken answer, which counts as none. */
    readonly onBrokenAnswer?: ((answer: BrokenAnswer) => void) | undefined;
}

function classify(error: unknown): PeerError {
    const message = error instanceof Error ? error.message : String(error);
    if (error instanceof TRPCClientError && error.data !== undefined && error.data !== null) {
        return { kind: "rejected", message };
    }
    return { kind: failedBeforeSending(error) ? "not-sent" : "no-answer", message };
}

async function resultOf<Answer>(call: Promise<Answer>): Promise<Result<Answer, PeerError>> {
    try {
        return Ok(await call);
    }
    catch (error) {
        return Err(classify(error));
    }
}

/** Options that tRPC's link passes to its `fetch` function. */
interface LinkRequest {
    readonly method?: string | undefined;
    readonly headers?: unknown;
    readonly body?: unknown;
    readonly signal?: AbortSignal | null | undefined;
}

/** Part of a response that tRPC's link reads. */
interface LinkResponse {
    readonly ok: boolean;
    readonly status: number;
    json(): Promise<unknown>;
}

/** Connections to a peer, and a callback for broken answers. */
interface PeerConnections extends PeerClientOptions {
    readonly agent: ReplaceableAgent;
}

/** Sends a call on the agent's current connections, and retires all of them if the call reaches its time limit. */
async function sendRequest(
    { agent, onBrokenAnswer }: PeerConnections,
    url: string,
    options: LinkRequest,
): Promise<LinkResponse> {
    const dispatcher = agent.current;
    try {
        const answer = await request(url, {
            method: options.method === "POST" ? "POST" : "GET",
            headers: options.headers as Record<string, string>,
            body: typeof options.body === "string" ? options.body : null,
            signal: options.signal ?? undefined,
            dispatcher,
        });
        const fault = refuseBrokenResponse(answer);
        if (fault !== undefined) {
            onBrokenAnswer?.({ reader: "peer-call", address: new URL(url).origin, fault });
            throw new Error(`broken answer: ${fault}`);
        }
        const { statusCode, body } = answer;
        const content: unknown = await body.json();
        return { ok: statusCode < MINIMUM_ERROR_STATUS, status: statusCode, json: () => Promise.resolve(content) };
    }
    catch (error) {
        // Only the time limit aborts a call.
        if (options.signal?.aborted === true) {
            agent.retire(dispatcher);
        }
        throw error;
    }
}

function checkSharedState(state: unknown): Result<SharedState, PeerError> {
    const checked = parseDocument(sharedStateSchema, state);
    return checked.success ? Ok(checked.data) : Err({ kind: "rejected", message: describeFault(checked.error) });
}

/**
 * Creates a client of one peer. A call that reaches its time limit retires all connections open at that time, so that
 * connections that stopped answering together cost one failed call, not one each: the next call opens a new one.
 *
 * @param url The peer's base URL, with an IP address.
 * @param options A callback for broken answers.
 *
 * @example
 * ```ts
 * const client = createPeerClient("http://127.0.0.1:7101");
 * const sent = await client.sendDigest(digest);
 * await client.close();
 * ```
 */
export function createPeerClient(url: string, { onBrokenAnswer }: PeerClientOptions = {}): PeerClient {
    const agent = createReplaceableAgent({
        connections: MAXIMUM_CONNECTIONS,
        connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
    });
    const client = createTRPCClient<PeerRouter>({
        links: [
            httpLink({
                url,
                fetch: (input, options) => sendRequest({ agent, onBrokenAnswer }, String(input), options ?? {}),
            }),
        ],
    });
    const callOptions = (timeoutMilliseconds = CALL_TIMEOUT_MILLISECONDS) => ({
        signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    return {
        sendDigest: async digest => (await resultOf(client.digest.mutate(digest, callOptions()))).map(() => undefined),
        fetchConfiguration: async () =>
            (await resultOf(client.fetchConfiguration.query(undefined, callOptions()))).map(answer => answer.record),
        fetchSharedState: async () =>
            (await resultOf(client.fetchSharedState.query(undefined, callOptions()))).andThen(checkSharedState),
        forwardOrder: (order, timeoutMilliseconds) =>
            resultOf(client.forwardOrder.mutate(order, callOptions(timeoutMilliseconds))),
        witness: request => resultOf(client.witness.mutate(request, callOptions())),
        requestAdapter: async adapter =>
            (await resultOf(client.wantAdapter.mutate(adapter, callOptions()))).map(() => undefined),
        close: () => agent.destroy(),
    };
}
