/**
 * Client of the platform's list of hosts.
 *
 * @module
 */
import * as z from "zod";
import { type BrokenAnswer } from "../observability/index.js";
import { createReplaceableAgent } from "../transport/index.js";
import { callPlatform } from "./_http.js";
import { type HostList } from "./types.js";

const DEFAULT_TIMEOUT_MILLISECONDS = 2000;
const MAXIMUM_ANSWER_BYTES = 1024 * 1024;

const listingSchema = z.object({
    live: z.array(z.object({ host: z.string(), peersUrl: z.string() })),
    leaving: z.array(z.string()),
    leavingEngines: z.array(z.string()).default([]),
});

/** Options of a host list client. */
export interface HostListClientOptions {
    readonly url: string;
    /** Time limit of one call. Default: 2000. */
    readonly timeoutMilliseconds?: number;
    /** Called with each broken answer, which counts as none. */
    readonly onBrokenAnswer?: ((answer: BrokenAnswer) => void) | undefined;
}

/**
 * Creates a client of the list of hosts.
 *
 * @param options Address and time limit.
 *
 * @example
 * ```ts
 * const hostList = createHostListClient({ url: "http://127.0.0.1:7001" });
 * const listing = await hostList.read();
 * await hostList.close();
 * ```
 */
export function createHostListClient(options: HostListClientOptions): HostList {
    const timeoutMilliseconds = options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
    const agent = createReplaceableAgent({ connections: 1, pipelining: 1, connect: { timeout: timeoutMilliseconds } });
    return {
        read: () =>
            callPlatform({
                agent,
                origin: options.url,
                path: "/v1/hosts",
                method: "GET",
                schema: listingSchema,
                timeoutMilliseconds,
                maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
                onBroken: fault => options.onBrokenAnswer?.({ reader: "host-list", address: options.url, fault }),
            }),
        close: () => agent.destroy(),
    };
}
