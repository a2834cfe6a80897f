/**
 * Stand-in of the platform's list of hosts.
 *
 * `PUT /standin-hosts` replaces the list after the configured lag; `GET /v1/hosts` returns it.
 *
 * @module
 */
import { z } from "zod";
import { runAsProcess } from "./_process.js";
import { json, type StandIn, type StandInRequest, startServer } from "./_server.js";

const listingSchema = z.object({
    live: z.array(z.object({ host: z.string(), peersUrl: z.string() })).default([]),
    leaving: z.array(z.string()).default([]),
    leavingEngines: z.array(z.string()).default([]),
});
/** Content of the host list. */
export type Listing = z.infer<typeof listingSchema>;

/** Validates the options of a host list. */
export const hostListOptionsSchema = z.object({
    port: z.number().default(0),
    lagMilliseconds: z.number().default(0),
    hosts: listingSchema.prefault({}),
}).strict();
/** Options of a host list. */
export type HostListOptions = z.input<typeof hostListOptionsSchema>;

/** A running host list. */
export interface HostListStandIn extends StandIn<{ readonly listing: Listing; readonly reads: number; }> {
    /** Replaces the listing after the lag. */
    setListing(listing: z.input<typeof listingSchema>): void;
}

/**
 * Starts a host list.
 *
 * @param input Port, lag and the first listing.
 *
 * @example
 * ```ts
 * const hostList = await startHostListStandIn({ hosts: { live: [] } });
 * await hostList.close();
 * ```
 */
export async function startHostListStandIn(input: HostListOptions = {}): Promise<HostListStandIn> {
    const options = hostListOptionsSchema.parse(input);
    let listing = options.hosts;
    let reads = 0;
    const timers = new Set<NodeJS.Timeout>();

    function setListing(next: z.input<typeof listingSchema>): void {
        const validated = listingSchema.parse(next);
        const timer = setTimeout(() => {
            timers.delete(timer);
            listing = validated;
        }, options.lagMilliseconds);
        timers.add(timer);
    }

    function handle(request: StandInRequest) {
        if (request.method === "PUT" && request.path === "/standin-hosts") {
            setListing(JSON.parse(request.body) as Listing);
            return json(200, {});
        }
        reads += 1;
        return request.path === "/v1/hosts" ? json(200, listing) : json(404, {});
    }

    const server = await startServer({
        port: options.port,
        handle,
        state: () => ({ listing, reads }),
        restart: () => undefined,
        setLeaving: () => undefined,
        close: () => {
            timers.forEach(timer => clearTimeout(timer));
        },
    });
    return { ...server, setListing };
}

await runAsProcess(import.meta.url, hostListOptionsSchema, startHostListStandIn);
