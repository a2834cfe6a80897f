/**
 * What this host witnesses of orders that other hosts run.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type OrderOutcome, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import { type Generations } from "./_generations.js";
import { mayHaveRun, sizeOf } from "./_outcomes.js";
import { isSameProcess, parseOrderKey, type ProcessName, type Ticket } from "./orderKey.js";

type Testimony =
    | { readonly type: "dispatched"; readonly bodyHash: string; }
    | { readonly type: "sealed"; readonly bodyHash: string; }
    | { readonly type: "finished"; readonly bodyHash?: string; readonly outcome: OrderOutcome; };

interface Entry {
    readonly generation: number;
    readonly testimony: Testimony;
}

/** The table of testimonies. */
export interface Witness {
    ask(request: WitnessRequest): WitnessAnswer;
    /** Drops the keys of generations that are no longer accepted. */
    forget(): void;
    readonly size: number;
}

/** Options of the table. */
export interface WitnessOptions {
    readonly identity: ProcessName;
    readonly generations: Generations;
    readonly mostKeys: number;
    readonly mostResultCharacters: number;
}

/** Creates an empty table. */
export function createWitness(options: WitnessOptions): Witness {
    const { identity, generations } = options;
    const entries = new Map<string, Entry>();
    let resultCharacters = 0;

    function put(key: string, entry: Entry): void {
        const before = entries.get(key)?.testimony;
        resultCharacters -= before?.type === "finished" ? sizeOf(before.outcome) : 0;
        resultCharacters += entry.testimony.type === "finished" ? sizeOf(entry.testimony.outcome) : 0;
        entries.set(key, entry);
    }

    function ticketOf(request: WitnessRequest): Ticket | undefined {
        const ticket = parseOrderKey(request.key).map(parsed => parsed.ticket).unwrapOr(undefined);
        const named = ticket?.witness !== undefined && isSameProcess(ticket.witness, identity);
        return named && request.witnessIncarnation === identity.incarnation ? ticket : undefined;
    }

    function ask(request: WitnessRequest): WitnessAnswer {
        const ticket = ticketOf(request);
        if (ticket === undefined) {
            return { type: "other-incarnation" };
        }
        const standing = generations.standingOf(ticket.generation);
        if (standing === "expired-not-run" && request.type === "seal") {
            return { type: "sealed" };
        }
        const full = !entries.has(request.key) && entries.size >= options.mostKeys;
        if ((standing !== "accepted" && standing !== "ahead") || full) {
            return { type: "ticket-expired" };
        }
        return match(request)
            .with({ type: "record-dispatch" }, ({ key, bodyHash }) => recordDispatch(key, ticket, bodyHash))
            .with({ type: "record-outcome" }, ({ key, outcome }) => recordOutcome(key, ticket, outcome))
            .with({ type: "seal" }, ({ key, bodyHash }) => seal(key, ticket, bodyHash))
            .exhaustive();
    }

    function recordDispatch(key: string, { generation }: Ticket, bodyHash: string): WitnessAnswer {
        const present = entries.get(key)?.testimony;
        if (present === undefined) {
            generations.noteDispatch(generation);
            put(key, { generation, testimony: { type: "dispatched", bodyHash } });
            return { type: "recorded" };
        }
        return present.type === "dispatched" ? { type: "recorded" } : present;
    }

    function recordOutcome(key: string, { generation }: Ticket, outcome: OrderOutcome): WitnessAnswer {
        const present = entries.get(key)?.testimony;
        if (present?.type === "sealed" || (present?.type === "finished" && present.outcome.type === "answered")) {
            return present;
        }
        const fits = resultCharacters + sizeOf(outcome) <= options.mostResultCharacters;
        if (!fits && mayHaveRun(outcome)) {
            return { type: "dispatched" };
        }
        const bodyHash = present?.bodyHash;
        const testimony = bodyHash === undefined
            ? { type: "finished" as const, outcome }
            : { type: "finished" as const, bodyHash, outcome };
        put(key, { generation, testimony });
        return { type: "recorded" };
    }

    function seal(key: string, { generation }: Ticket, bodyHash: string): WitnessAnswer {
        const present = entries.get(key)?.testimony;
        if (present === undefined) {
            put(key, { generation, testimony: { type: "sealed", bodyHash } });
            return { type: "sealed", bodyHash };
        }
        return present.type === "dispatched" ? { type: "dispatched" } : present;
    }

    function forget(): void {
        for (const [key, { generation, testimony }] of entries) {
            if (generation < generations.floor) {
                resultCharacters -= testimony.type === "finished" ? sizeOf(testimony.outcome) : 0;
                entries.delete(key);
            }
        }
    }

    return {
        ask,
        forget,
        get size() {
            return entries.size;
        },
    };
}
