/**
 * Body hashes and outcomes of the orders that this process owns, kept so that retries are answered from memory.
 *
 * @module
 */
import { type OrderOutcome } from "../generated/peers.js";
import { countResultCharacters, mayHaveRun, refuse } from "./_outcomes.js";

/** When a key may be dropped: when its ticket's generation expires or, for a claimed key, at a time. */
export type Retention =
    | { readonly type: "generation"; readonly generation: number; }
    | { readonly type: "until"; readonly untilMilliseconds: number; };

/** State of one key. */
export interface LedgerEntry {
    readonly bodyHash: string;
    readonly retention: Retention;
    /** Missing while the order is in progress. */
    readonly outcome: OrderOutcome | undefined;
}

/** The keys of orders that this process owns. */
export interface Ledger {
    find(key: string): LedgerEntry | undefined;
    /** Adds a key whose order has no outcome yet. */
    open(key: string, bodyHash: string, retention: Retention): void;
    /** Sets the outcome of a key that has none, or replaces `may-have-run` by a result. */
    finish(key: string, outcome: OrderOutcome): void;
    /** Drops keys with an outcome whose retention has ended. */
    dropExpired(lowestGeneration: number, nowMilliseconds: number): void;
    readonly size: number;
    readonly isFull: boolean;
    entries(): IterableIterator<[string, LedgerEntry]>;
}

/** Memory bounds of the ledger. */
export interface LedgerOptions {
    readonly maximumKeys: number;
    readonly maximumResultCharacters: number;
}

const RESULT_EVICTED_REFUSAL = refuse("ticket-expired", "may-have-run", {
    message: "the order was passed on; its result is no longer kept",
});

function isExpired(retention: Retention, lowestGeneration: number, nowMilliseconds: number): boolean {
    return retention.type === "generation"
        ? retention.generation < lowestGeneration
        : retention.untilMilliseconds <= nowMilliseconds;
}

/** Creates an empty ledger. */
export function createLedger(options: LedgerOptions): Ledger {
    const entries = new Map<string, LedgerEntry>();
    const resultSizes = new Map<string, number>();
    let resultCharacters = 0;

    function dropResult(key: string): void {
        resultCharacters -= resultSizes.get(key) ?? 0;
        resultSizes.delete(key);
    }

    function evictResults(): void {
        for (const key of resultSizes.keys()) {
            if (resultCharacters <= options.maximumResultCharacters) {
                return;
            }
            dropResult(key);
            const entry = entries.get(key);
            if (entry !== undefined) {
                entries.set(key, { ...entry, outcome: RESULT_EVICTED_REFUSAL });
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
        const size = countResultCharacters(outcome);
        if (size > 0) {
            resultSizes.set(key, size);
            resultCharacters += size;
            evictResults();
        }
    }

    function dropExpired(lowestGeneration: number, nowMilliseconds: number): void {
        for (const [key, { retention, outcome }] of entries) {
            if (outcome !== undefined && isExpired(retention, lowestGeneration, nowMilliseconds)) {
                dropResult(key);
                entries.delete(key);
            }
        }
    }

    return {
        find: key => entries.get(key),
        open: (key, bodyHash, retention) => void entries.set(key, { bodyHash, retention, outcome: undefined }),
        finish,
        dropExpired,
        entries: () => entries.entries(),
        get size() {
            return entries.size;
        },
        get isFull() {
            return entries.size >= options.maximumKeys;
        },
    };
}
