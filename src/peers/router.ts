/**
 * The tRPC procedures that hosts call on each other.
 *
 * @module
 */
import { initTRPC } from "@trpc/server";
import * as z from "zod";
import {
    type Digest,
    digestSchema,
    type ForwardedOrder,
    forwardedOrderSchema,
    type OrderOutcome,
    type SharedState,
    type WitnessAnswer,
    type WitnessRequest,
    witnessRequestSchema,
} from "../generated/peers.js";
import { type ConfigurationRecord } from "../generated/platform.js";

const adapterRequestSchema = z.object({ model: z.string().max(256), adapter: z.string().max(256) }).strict();

/** Request of another host to load an adapter that its requests wait for. */
export type AdapterRequest = z.infer<typeof adapterRequestSchema>;

/** Handlers of the peer procedures on one host. */
export interface PeerHandlers {
    receiveDigest(digest: Digest): void;
    configurationRecord(): ConfigurationRecord | undefined;
    sharedState(): SharedState;
    forwardOrder(order: ForwardedOrder): Promise<OrderOutcome>;
    witness(request: WitnessRequest): Promise<WitnessAnswer>;
    requestAdapter(adapter: AdapterRequest): void;
}

/**
 * Creates the router of the peer procedures.
 *
 * @param handlers Handlers that the procedures call with validated input.
 *
 * @example
 * ```ts
 * const router = createPeerRouter(handlers);
 * ```
 */
export function createPeerRouter(handlers: PeerHandlers) {
    const trpc = initTRPC.create();
    return trpc.router({
        digest: trpc.procedure.input(digestSchema).mutation(({ input }) => {
            handlers.receiveDigest(input);
            return { taken: true };
        }),
        fetchConfiguration: trpc.procedure.query(() => ({ record: handlers.configurationRecord() })),
        fetchSharedState: trpc.procedure.query(() => handlers.sharedState()),
        forwardOrder: trpc.procedure.input(forwardedOrderSchema).mutation(({ input }) => handlers.forwardOrder(input)),
        witness: trpc.procedure.input(witnessRequestSchema).mutation(({ input }) => handlers.witness(input)),
        wantAdapter: trpc.procedure.input(adapterRequestSchema).mutation(({ input }) => {
            handlers.requestAdapter(input);
            return { taken: true };
        }),
    });
}

/** Type of the peer router, from which clients infer the types of their calls. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
