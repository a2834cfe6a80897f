/**
 * The message formats that peers have proved to know.
 *
 * @module
 */
import { FIRST_FORMAT, FIRST_TOLERANT_FORMAT } from "./messageFormats.js";

/** A proof counts for this long, since a host of an earlier build may take the address over. */
const PROOF_LIFETIME_MILLISECONDS = 2_000;

/** Proofs older than this are renewed. */
const RENEWAL_AGE_MILLISECONDS = 1_000;

/** A peer is asked for its format at this interval at most. */
const QUESTION_INTERVAL_MILLISECONDS = 1_000;

/** Bounds the memory for addresses that send datagrams or are sent some. */
const MAXIMUM_ADDRESSES = 8_192;

interface PeerFormat {
    readonly format: number;
    readonly provedAtMilliseconds: number;
    readonly askedAtMilliseconds: number;
}

const UNPROVED: PeerFormat = {
    format: FIRST_FORMAT,
    provedAtMilliseconds: Number.NEGATIVE_INFINITY,
    askedAtMilliseconds: Number.NEGATIVE_INFINITY,
};

/**
 * Keeps the latest format that each address has proved, for a while.
 *
 * @example
 * ```ts
 * const formats = new PeerFormats();
 * formats.recordProof("10.2.0.40:8145", 4, now);
 * formats.formatOf("10.2.0.40:8145", now); // 4
 * ```
 */
export class PeerFormats {
    readonly #peers = new Map<string, PeerFormat>();

    /** Records that a message of a format came from an address; a later format stays in force until it expires. */
    recordProof(address: string, format: number, nowMilliseconds: number): void {
        const known = this.#peers.get(address) ?? UNPROVED;
        if (format >= this.formatOf(address, nowMilliseconds)) {
            this.#set(address, { ...known, format, provedAtMilliseconds: nowMilliseconds });
        }
    }

    /** Returns the latest format that an address has proved lately; the first one where there is no proof. */
    formatOf(address: string, nowMilliseconds: number): number {
        const { format, provedAtMilliseconds } = this.#peers.get(address) ?? UNPROVED;
        return nowMilliseconds - provedAtMilliseconds <= PROOF_LIFETIME_MILLISECONDS ? format : FIRST_FORMAT;
    }

    /** Returns whether an address should be asked for its format now, and counts it as asked. */
    takeQuestion(address: string, nowMilliseconds: number): boolean {
        const known = this.#peers.get(address) ?? UNPROVED;
        const isProved = known.format >= FIRST_TOLERANT_FORMAT
            && nowMilliseconds - known.provedAtMilliseconds < RENEWAL_AGE_MILLISECONDS;
        if (isProved || nowMilliseconds - known.askedAtMilliseconds < QUESTION_INTERVAL_MILLISECONDS) {
            return false;
        }
        this.#set(address, { ...known, askedAtMilliseconds: nowMilliseconds });
        return true;
    }

    #set(address: string, peer: PeerFormat): void {
        if (this.#peers.size >= MAXIMUM_ADDRESSES && !this.#peers.has(address)) {
            this.#peers.clear();
        }
        this.#peers.set(address, peer);
    }
}
