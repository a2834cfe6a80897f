/**
 * Calls the peer procedures of one other host.
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
import { createRenewableAgent, failedBeforeSending, type RenewableAgent } from "../transport/index.js";
import { type PeerRouter, type WantedAdapter } from "./router.js";

const CONNECT_TIMEOUT_MILLISECONDS = 1000;
const CALL_TIMEOUT_MILLISECONDS = 2000;
const MOST_CONNECTIONS = 8;
const FIRST_ERROR_STATUS = 400;

/** Why a peer gave no answer. */
export interface PeerError {
    /** `not-sent`: no byte reached the peer. `no-answer`: the peer may have acted. `rejected`: the peer found the call invalid. */
    readonly kind: "not-sent" | "no-answer" | "rejected";
    readonly message: string;
}

/** Calls on one peer. Each call has a time limit, after which its connection is given up. */
export interface PeerClient {
    sendDigest(digest: Digest): Promise<Result<void, PeerError>>;
    fetchConfiguration(): Promise<Result<ConfigurationRecord | undefined, PeerError>>;
    fetchSharedState(): Promise<Result<SharedState, PeerError>>;
    forwardOrder(order: ForwardedOrder, timeoutMilliseconds: number): Promise<Result<OrderOutcome, PeerError>>;
    witness(request: WitnessRequest): Promise<Result<WitnessAnswer, PeerError>>;
    wantAdapter(wanted: WantedAdapter): Promise<Result<void, PeerError>>;
    close(): Promise<void>;
}

function classify(error: unknown): PeerError {
    const message = error instanceof Error ? error.message : String(error);
    if (error instanceof TRPCClientError && error.data !== undefined && error.data !== null) {
        return { kind: "rejected", message };
    }
    return { kind: failedBeforeSending(error) ? "not-sent" : "no-answer", message };
}

async function outcomeOf<Answer>(call: Promise<Answer>): Promise<Result<Answer, PeerError>> {
    try {
        return Ok(await call);
    }
    catch (error) {
        return Err(classify(error));
    }
}

/** What tRPC's link passes to the function that sends its calls. */
interface LinkRequest {
    readonly method?: string | undefined;
    readonly headers?: unknown;
    readonly body?: unknown;
    readonly signal?: AbortSignal | null | undefined;
}

/** What tRPC's link reads of an answer. */
interface LinkResponse {
    readonly ok: boolean;
    readonly status: number;
    json(): Promise<unknown>;
}

/** Sends a call on the current connections, and gives them all up where the time limit passes. */
async function sendWith(agent: RenewableAgent, url: string, options: LinkRequest): Promise<LinkResponse> {
    const dispatcher = agent.current;
    try {
        const { statusCode, body } = await request(url, {
            method: options.method === "POST" ? "POST" : "GET",
            headers: options.headers as Record<string, string>,
            body: typeof options.body === "string" ? options.body : null,
            signal: options.signal ?? undefined,
            dispatcher,
        });
        const answer: unknown = await body.json();
        return { ok: statusCode < FIRST_ERROR_STATUS, status: statusCode, json: () => Promise.resolve(answer) };
    }
    catch (error) {
        // Calls are aborted by their time limits alone.
        if (options.signal?.aborted === true) {
            agent.retire(dispatcher);
        }
        throw error;
    }
}

function checkSharedState(state: unknown): Result<SharedState, PeerError> {
    const checked = sharedStateSchema.safeParse(state);
    return checked.success ? Ok(checked.data) : Err({ kind: "rejected", message: checked.error.message });
}

/**
 * Creates a client of one peer. A call past its time limit gives up the connections of that time, so that the next call
 * takes a new one: connections that went silent for good together cost one call.
 *
 * @param url The peer's base URL, with an IP number.
 *
 * @example
 * ```ts
 * const client = createPeerClient("http://127.0.0.1:7101");
 * const sent = await client.sendDigest(digest);
 * await client.close();
 * ```
 */
export function createPeerClient(url: string): PeerClient {
    const agent = createRenewableAgent({
        connections: MOST_CONNECTIONS,
        connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
    });
    const client = createTRPCClient<PeerRouter>({
        links: [
            httpLink({
                url,
                fetch: (input, options) => sendWith(agent, String(input), options ?? {}),
            }),
        ],
    });
    const within = (timeoutMilliseconds = CALL_TIMEOUT_MILLISECONDS) => ({
        signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    return {
        sendDigest: async digest => (await outcomeOf(client.digest.mutate(digest, within()))).map(() => undefined),
        fetchConfiguration: async () =>
            (await outcomeOf(client.fetchConfiguration.query(undefined, within()))).map(answer => answer.record),
        fetchSharedState: async () =>
            (await outcomeOf(client.fetchSharedState.query(undefined, within()))).andThen(checkSharedState),
        forwardOrder: (order, timeoutMilliseconds) =>
            outcomeOf(client.forwardOrder.mutate(order, within(timeoutMilliseconds))),
        witness: request => outcomeOf(client.witness.mutate(request, within())),
        wantAdapter: async wanted =>
            (await outcomeOf(client.wantAdapter.mutate(wanted, within()))).map(() => undefined),
        close: () => agent.destroy(),
    };
}
