/**
 * When an answer was last seen on each attribute.
 *
 * @module
 */

/** Bounds memory; the least recently proved are dropped. */
const MAXIMUM_PROOFS = 8_192;
const DROPPED_PROOFS = 1_024;

/** A loss soon after an answer is no reason to suspect the attribute. */
const FRESH_MILLISECONDS = 10_000;

/** A peer's word must be later than what is known by this, since it ages while it is passed on. */
const PEER_MARGIN_MILLISECONDS = 500;

interface Proof {
    readonly atMilliseconds: number;
    /** Whether this host saw the answer itself. */
    readonly isOwn: boolean;
}

/** Attributes that were answered on upstreams that lived on. */
export class Proofs {
    readonly #proofs = new Map<string, Proof>();

    get size(): number {
        return this.#proofs.size;
    }

    /** Records an answer; returns whether it is later than the one known. */
    record(attribute: string, atMilliseconds: number, isOwn: boolean): boolean {
        const known = this.#proofs.get(attribute);
        const margin = isOwn ? 0 : PEER_MARGIN_MILLISECONDS;
        if (known !== undefined && atMilliseconds <= known.atMilliseconds + margin) {
            return false;
        }
        this.#proofs.delete(attribute);
        this.#proofs.set(attribute, { atMilliseconds, isOwn });
        if (this.#proofs.size > MAXIMUM_PROOFS) {
            this.#dropOldest();
        }
        return true;
    }

    /** Returns when an answer was last seen, if any was. */
    lastAnswerMilliseconds(attribute: string): number | undefined {
        return this.#proofs.get(attribute)?.atMilliseconds;
    }

    /** Returns when this host last saw an answer itself. */
    lastOwnAnswerMilliseconds(attribute: string): number | undefined {
        const proof = this.#proofs.get(attribute);
        return proof?.isOwn === true ? proof.atMilliseconds : undefined;
    }

    /** Returns whether an answer shortly before a loss, or after it, shows that the attribute did not cause it. */
    excuses(attribute: string, lostAtMilliseconds: number): boolean {
        const proof = this.#proofs.get(attribute);
        return proof !== undefined && proof.atMilliseconds >= lostAtMilliseconds - FRESH_MILLISECONDS;
    }

    /** Drops many at once, since finding the oldest is slow where each answer would drop one. */
    #dropOldest(): void {
        const kept = [...this.#proofs].slice(DROPPED_PROOFS);
        this.#proofs.clear();
        kept.forEach(([attribute, proof]) => this.#proofs.set(attribute, proof));
    }
}
