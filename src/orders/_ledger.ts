/**
 * The orders that this process owns: each key's body and outcome, for as long as a repeat is answered from memory.
 *
 * @module
 */
import { type OrderOutcome } from "../generated/peers.js";
import { mayHaveRun, refuse, sizeOf } from "./_outcomes.js";

/** Until when a key is remembered: the generation of its ticket, or a time for a claimed key. */
export type Retention =
    | { readonly type: "generation"; readonly generation: number; }
    | { readonly type: "until"; readonly untilMilliseconds: number; };

/** What is remembered of a key. */
export interface LedgerEntry {
    readonly bodyHash: string;
    readonly retention: Retention;
    /** Missing while the order is under way. */
    readonly outcome: OrderOutcome | undefined;
}

/** The orders that this process owns. */
export interface Ledger {
    find(key: string): LedgerEntry | undefined;
    open(key: string, bodyHash: string, retention: Retention): void;
    /** Sets the outcome of an open key, or improves `may-have-run` to a result. */
    finish(key: string, outcome: OrderOutcome): void;
    /** Drops finished keys whose time is over. */
    forget(floor: number, nowMilliseconds: number): void;
    readonly size: number;
    readonly isFull: boolean;
    entries(): IterableIterator<[string, LedgerEntry]>;
}

/** Bounds of the ledger. */
export interface LedgerOptions {
    readonly mostKeys: number;
    readonly mostResultCharacters: number;
}

const RESULT_FORGOTTEN = refuse("ticket-expired", "may-have-run", {
    message: "the order was passed on; its result is no longer kept",
});

function isOver(retention: Retention, floor: number, nowMilliseconds: number): boolean {
    return retention.type === "generation"
        ? retention.generation < floor
        : retention.untilMilliseconds <= nowMilliseconds;
}

/** Creates an empty ledger. */
export function createLedger(options: LedgerOptions): Ledger {
    const entries = new Map<string, LedgerEntry>();
    const results = new Map<string, number>();
    let resultCharacters = 0;

    function dropResult(key: string): void {
        resultCharacters -= results.get(key) ?? 0;
        results.delete(key);
    }

    function shrink(): void {
        for (const key of results.keys()) {
            if (resultCharacters <= options.mostResultCharacters) {
                return;
            }
            dropResult(key);
            const entry = entries.get(key);
            if (entry !== undefined) {
                entries.set(key, { ...entry, outcome: RESULT_FORGOTTEN });
            }
        }
    }

    function finish(key: string, outcome: OrderOutcome): void {
        const entry = entries.get(key);
        const improves = entry?.outcome === undefined
            || (entry.outcome.type === "refused" && mayHaveRun(entry.outcome) && outcome.type === "answered");
        if (entry === undefined || !improves) {
            return;
        }
        entries.set(key, { ...entry, outcome });
        const size = sizeOf(outcome);
        if (size > 0) {
            results.set(key, size);
            resultCharacters += size;
            shrink();
        }
    }

    function forget(floor: number, nowMilliseconds: number): void {
        for (const [key, { retention, outcome }] of entries) {
            if (outcome !== undefined && isOver(retention, floor, nowMilliseconds)) {
                dropResult(key);
                entries.delete(key);
            }
        }
    }

    return {
        find: key => entries.get(key),
        open: (key, bodyHash, retention) => void entries.set(key, { bodyHash, retention, outcome: undefined }),
        finish,
        forget,
        entries: () => entries.entries(),
        get size() {
            return entries.size;
        },
        get isFull() {
            return entries.size >= options.mostKeys;
        },
    };
}
