/**
 * Collects the records of a soak.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type SoakRecord, type TroubleRecord } from "./records.js";

/** The records until now, and the clock that they share. */
export class SoakLog {
    readonly records: SoakRecord[] = [];
    readonly #startedAt = performance.now();
    readonly #lastingTroubles = new Set<Omit<TroubleRecord, "until">>();

    /** Milliseconds since the start. */
    now(): number {
        return performance.now() - this.#startedAt;
    }

    add(record: SoakRecord): void {
        this.records.push(record);
    }

    /** Records a trouble from now on; the function that it returns ends it. */
    beginTrouble(kind: string, targets: readonly string[]): () => void {
        const trouble = { type: "trouble" as const, kind, targets, from: this.now() };
        this.#lastingTroubles.add(trouble);
        return () => {
            if (this.#lastingTroubles.delete(trouble)) {
                this.add({ ...trouble, until: this.now() });
            }
        };
    }

    /** Ends the troubles that last. */
    close(): void {
        this.#lastingTroubles.forEach(trouble => this.add({ ...trouble, until: this.now() }));
        this.#lastingTroubles.clear();
    }
}

/** Returns the digest of a body, by which bodies are compared. */
export function digestOf(body: string | Buffer): string {
    return createHash("sha1").update(body).digest("base64");
}
