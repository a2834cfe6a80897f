/**
 * Records, as the witness of other hosts' tickets, which orders they dispatched and with which outcome.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type OrderOutcome, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import { type Generations } from "./_generations.js";
import { countResultCharacters, mayHaveRun } from "./_outcomes.js";
import { isSameProcess, parseOrderKey, type ProcessName, type Ticket } from "./orderKey.js";

type KeyState =
    | { readonly type: "dispatched"; readonly bodyHash: string; }
    | { readonly type: "sealed"; readonly bodyHash: string; }
    | { readonly type: "finished"; readonly bodyHash?: string; readonly outcome: OrderOutcome; };

interface Entry {
    readonly generation: number;
    readonly state: KeyState;
}

/** States of the keys that this process witnesses. */
export interface Witness {
    handleRequest(request: WitnessRequest): WitnessAnswer;
    /** Drops the keys of expired generations. */
    dropExpired(): void;
    readonly size: number;
}

/** Options of the witness. */
export interface WitnessOptions {
    readonly identity: ProcessName;
    readonly generations: Generations;
    readonly maximumKeys: number;
    readonly maximumResultCharacters: number;
}

/** Creates a witness without keys. */
export function createWitness(options: WitnessOptions): Witness {
    const { identity, generations } = options;
    const entries = new Map<string, Entry>();
    let resultCharacters = 0;

    function put(key: string, entry: Entry): void {
        const previous = entries.get(key)?.state;
        resultCharacters -= previous?.type === "finished" ? countResultCharacters(previous.outcome) : 0;
        resultCharacters += entry.state.type === "finished" ? countResultCharacters(entry.state.outcome) : 0;
        entries.set(key, entry);
    }

    function witnessedTicketOf(request: WitnessRequest): Ticket | undefined {
        const ticket = parseOrderKey(request.key).map(parsed => parsed.ticket).unwrapOr(undefined);
        const namesThisProcess = ticket?.witness !== undefined && isSameProcess(ticket.witness, identity);
        return namesThisProcess && request.witnessIncarnation === identity.incarnation ? ticket : undefined;
    }

    function handleRequest(request: WitnessRequest): WitnessAnswer {
        const ticket = witnessedTicketOf(request);
        if (ticket === undefined) {
            return { type: "other-incarnation" };
        }
        const status = generations.statusOf(ticket.generation);
        if (status === "expired-not-run" && request.type === "seal") {
            return { type: "sealed" };
        }
        const isFull = !entries.has(request.key) && entries.size >= options.maximumKeys;
        if ((status !== "accepted" && status !== "ahead") || isFull) {
            return { type: "ticket-expired" };
        }
        return match(request)
            .with({ type: "record-dispatch" }, ({ key, bodyHash }) => recordDispatch(key, ticket, bodyHash))
            .with({ type: "record-outcome" }, ({ key, outcome }) => recordOutcome(key, ticket, outcome))
            .with({ type: "seal" }, ({ key, bodyHash }) => seal(key, ticket, bodyHash))
            .exhaustive();
    }

    function recordDispatch(key: string, { generation }: Ticket, bodyHash: string): WitnessAnswer {
        const existing = entries.get(key)?.state;
        if (existing === undefined) {
            generations.recordDispatch(generation);
            put(key, { generation, state: { type: "dispatched", bodyHash } });
            return { type: "recorded" };
        }
        return existing.type === "dispatched" ? { type: "recorded" } : existing;
    }

    function recordOutcome(key: string, { generation }: Ticket, outcome: OrderOutcome): WitnessAnswer {
        const existing = entries.get(key)?.state;
        if (existing?.type === "sealed" || (existing?.type === "finished" && existing.outcome.type === "answered")) {
            return existing;
        }
        const fits = resultCharacters + countResultCharacters(outcome) <= options.maximumResultCharacters;
        if (!fits && mayHaveRun(outcome)) {
            return { type: "dispatched" };
        }
        const bodyHash = existing?.bodyHash;
        const state = bodyHash === undefined
            ? { type: "finished" as const, outcome }
            : { type: "finished" as const, bodyHash, outcome };
        put(key, { generation, state });
        return { type: "recorded" };
    }

    function seal(key: string, { generation }: Ticket, bodyHash: string): WitnessAnswer {
        const existing = entries.get(key)?.state;
        if (existing === undefined) {
            put(key, { generation, state: { type: "sealed", bodyHash } });
            return { type: "sealed", bodyHash };
        }
        return existing.type === "dispatched" ? { type: "dispatched" } : existing;
    }

    function dropExpired(): void {
        for (const [key, { generation, state }] of entries) {
            if (generation < generations.lowestAccepted) {
                resultCharacters -= state.type === "finished" ? countResultCharacters(state.outcome) : 0;
                entries.delete(key);
            }
        }
    }

    return {
        handleRequest,
        dropExpired,
        get size() {
            return entries.size;
        },
    };
}
