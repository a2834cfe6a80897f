/**
 * Exchanges statements with peers so that holders may continue while the key-value service answers no host.
 *
 * @module
 */
import { type ClockReading, type EngineDuties, OutageConsent } from "../../duties/index.js";
import { type HostDigest } from "../../generated/gossip.js";

/** Digests older than this are no longer confirmed; their sender remembers fewer of its own. */
const DIGEST_RETENTION_MILLISECONDS = 10_000;

/** Options of the outage agreement. */
export interface OutageAgreementOptions {
    /** This host. */
    readonly host: string;
    readonly duties: EngineDuties;
    readonly readClocks: () => ClockReading;
    /** Returns whether the service answers this host. */
    readonly serviceAnswers: () => boolean;
    /** Returns all other hosts that could take engines over. */
    readonly otherHosts: () => readonly string[];
}

/** The part of a digest from which a holder learns whether the sender consents to its continuing. */
export type ConsentStatement = Pick<HostDigest, "sequence" | "heard" | "serviceAnswers" | "holderRevisions">;

/**
 * States whether the service answers this host, records the statements of others, and confirms this host's duties once
 * all others consent.
 *
 * @example
 * ```ts
 * const agreement = new OutageAgreement({ host, duties, readClocks, serviceAnswers, otherHosts });
 * send({ ...digest, ...agreement.nextStatement() });
 * agreement.receiveStatement(digestOfPeer);
 * ```
 */
export class OutageAgreement {
    readonly #options: OutageAgreementOptions;
    readonly #consent = new OutageConsent();
    /** The number of each host's last digest, and when it was received. */
    readonly #lastDigests = new Map<string, { readonly sequence: number; readonly atMilliseconds: number; }>();
    #sequence = 0;

    constructor(options: OutageAgreementOptions) {
        this.#options = options;
    }

    /** Numbers the next digest and returns its statement; while the service answers, it states only that. */
    nextStatement(): ConsentStatement {
        const { duties, readClocks, serviceAnswers } = this.#options;
        this.#sequence += 1;
        this.#consent.recordDigestSent(this.#sequence, readClocks());
        if (serviceAnswers()) {
            return { sequence: this.#sequence, serviceAnswers: true, heard: {}, holderRevisions: {} };
        }
        return {
            sequence: this.#sequence,
            serviceAnswers: false,
            heard: this.#lastDigestNumbers(),
            holderRevisions: Object.fromEntries(duties.holderRevisions()),
        };
    }

    /** Records a peer's statement, and confirms this host's duties where all others now consent. */
    receiveStatement(
        { heard, holderRevisions, host, sequence, serviceAnswers }: ConsentStatement & Pick<HostDigest, "host">,
    ): void {
        this.#lastDigests.set(host, { sequence, atMilliseconds: this.#now() });
        this.#consent.recordStatement({
            host,
            heard: heard[this.#options.host],
            serviceAnswers,
            holderRevisions: new Map(Object.entries(holderRevisions)),
        });
        this.#confirmByConsent();
    }

    /** Returns the hosts whose consent is missing, for the log. */
    hostsWithoutConsent(): string[] {
        return this.#consent.hostsWithoutConsent(this.#options.otherHosts(), this.#heldRevisions());
    }

    /** Confirms this host's duties by the other hosts' consent where the service does not answer. */
    #confirmByConsent(): void {
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

    #lastDigestNumbers(): Record<string, number> {
        for (const [host, { atMilliseconds }] of this.#lastDigests) {
            if (this.#now() - atMilliseconds > DIGEST_RETENTION_MILLISECONDS) {
                this.#lastDigests.delete(host);
            }
        }
        return Object.fromEntries([...this.#lastDigests].map(([host, { sequence }]) => [host, sequence]));
    }

    #now(): number {
        return this.#options.readClocks().steadyMilliseconds;
    }
}
