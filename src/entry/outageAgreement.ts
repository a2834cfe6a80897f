/**
 * What hosts tell each other so that holders may go on while the key-value service answers nobody.
 *
 * @module
 */
import { type ClockReading, type EngineDuties, OutageConsent } from "../duties/index.js";
import { type HostDigest } from "../generated/gossip.js";

/** A host that was not heard for this long is answered no more; it remembers fewer of its own digests. */
const FORGOTTEN_MILLISECONDS = 10_000;

/** Options of the agreement. */
export interface OutageAgreementOptions {
    /** This host. */
    readonly host: string;
    readonly duties: EngineDuties;
    readonly readClocks: () => ClockReading;
    /** True while the service answers this host. */
    readonly serviceAnswers: () => boolean;
    /** All other hosts that could take engines over. */
    readonly otherHosts: () => readonly string[];
}

/** The part of a digest that consents to the holders' going on, or does not. */
export type Statement = Pick<HostDigest, "sequence" | "heard" | "serviceAnswers" | "holderRevisions">;

/**
 * States whether the service answers this host, hears what others state, and confirms this host's duties once all agree.
 *
 * @example
 * ```ts
 * const agreement = new OutageAgreement({ duties, readClocks, serviceAnswers, otherHosts });
 * send({ ...digest, ...agreement.nextStatement() });
 * agreement.hear(digestOfPeer);
 * ```
 */
export class OutageAgreement {
    readonly #options: OutageAgreementOptions;
    readonly #consent = new OutageConsent();
    /** Each host's last digest. */
    readonly #heard = new Map<string, { readonly sequence: number; readonly atMilliseconds: number; }>();
    #sequence = 0;

    constructor(options: OutageAgreementOptions) {
        this.#options = options;
    }

    /** Numbers the next digest, and gives what it states; while the service answers, only that it does. */
    nextStatement(): Statement {
        const { duties, readClocks, serviceAnswers } = this.#options;
        this.#sequence += 1;
        this.#consent.recordDigestSent(this.#sequence, readClocks());
        if (serviceAnswers()) {
            return { sequence: this.#sequence, serviceAnswers: true, heard: {}, holderRevisions: {} };
        }
        return {
            sequence: this.#sequence,
            serviceAnswers: false,
            heard: this.#heardOfOthers(),
            holderRevisions: Object.fromEntries(duties.holderRevisions()),
        };
    }

    /** Takes what a peer stated. */
    receiveStatement(
        { heard, holderRevisions, host, sequence, serviceAnswers }: Statement & Pick<HostDigest, "host">,
    ): void {
        this.#heard.set(host, { sequence, atMilliseconds: this.#now() });
        this.#consent.recordStatement({
            host,
            heard: heard[this.#options.host],
            serviceAnswers,
            holderRevisions: new Map(Object.entries(holderRevisions)),
        });
        this.#confirm();
    }

    /** Gives the hosts without whose consent this one stops, for the log. */
    missing(): string[] {
        return this.#consent.missing(this.#options.otherHosts(), this.#heldRevisions());
    }

    /** The other hosts' consent stands in for the service's word. */
    #confirm(): void {
        const { duties, otherHosts, serviceAnswers } = this.#options;
        if (serviceAnswers()) {
            return;
        }
        const held = this.#heldRevisions();
        if (held.size === 0) {
            return;
        }
        const agreedAt = this.#consent.agreedAt(otherHosts(), held);
        if (agreedAt !== undefined) {
            duties.recordPeerConsent(agreedAt);
        }
    }

    #heldRevisions(): Map<string, number> {
        return new Map(this.#options.duties.held().map(({ engine, expectedRevision }) => [engine, expectedRevision]));
    }

    #heardOfOthers(): Record<string, number> {
        for (const [host, { atMilliseconds }] of this.#heard) {
            if (this.#now() - atMilliseconds > FORGOTTEN_MILLISECONDS) {
                this.#heard.delete(host);
            }
        }
        return Object.fromEntries([...this.#heard].map(([host, { sequence }]) => [host, sequence]));
    }

    #now(): number {
        return this.#options.readClocks().steadyMilliseconds;
    }
}
