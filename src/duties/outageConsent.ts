/**
 * Who may go on giving orders while the key-value service answers nobody.
 *
 * A holder's session is confirmed by the service. In an outage nobody can take an engine over, and the holders may go on
 * if all other hosts say so: that the service does not answer them either, and that they know of no later holder. A host
 * that takes an engine over later waits as long as after a renewal, since its word came before.
 *
 * @module
 */
import { type ClockReading } from "./engineDuties.js";

/** Digests whose sending time is remembered; an answer to an older one proves too little. */
const REMEMBERED_DIGESTS = 16;

/** What a peer said in its last digest. */
export interface PeerStatement {
    readonly host: string;
    /** Number of the last digest of this host that the peer had when it spoke; `undefined` for none. */
    readonly heard: number | undefined;
    /** True while the service answers the peer. */
    readonly serviceAnswers: boolean;
    /** Revision of each engine's holder that the peer knows. */
    readonly holderRevisions: ReadonlyMap<string, number>;
}

/**
 * Finds out from when on all other hosts have agreed that this one goes on.
 *
 * @example
 * ```ts
 * const consent = new OutageConsent();
 * consent.sent(7, reading);
 * consent.hear({ host: "entry-2", heard: 7, serviceAnswers: false, holderRevisions: new Map([["engine-3", 41]]) });
 * consent.agreedAt(["entry-2"], new Map([["engine-3", 41]])); // the reading
 * ```
 */
export class OutageConsent {
    readonly #sent = new Map<number, ClockReading>();
    readonly #statements = new Map<string, PeerStatement>();

    /** Takes note that a digest goes out. */
    recordDigestSent(digest: number, reading: ClockReading): void {
        this.#sent.set(digest, reading);
        this.#sent.delete(digest - REMEMBERED_DIGESTS);
    }

    recordStatement(statement: PeerStatement): void {
        this.#statements.set(statement.host, statement);
    }

    /**
     * Gives the reading at which the digest was sent that all hosts have answered with their consent.
     *
     * @param hosts All hosts that could take engines over.
     * @param held The engines that this host holds, with the revisions of its records.
     * @returns `undefined` where one of the hosts did not consent, or where there is none to ask.
     */
    agreedAt(hosts: readonly string[], held: ReadonlyMap<string, number>): ClockReading | undefined {
        let earliest: ClockReading | undefined;
        for (const host of hosts) {
            const reading = this.#consentOf(host, held);
            if (reading === undefined) {
                return undefined;
            }
            if (earliest === undefined || reading.steadyMilliseconds < earliest.steadyMilliseconds) {
                earliest = reading;
            }
        }
        return earliest;
    }

    /** Gives the hosts without whose consent this one stops, for the log. */
    missing(hosts: readonly string[], held: ReadonlyMap<string, number>): string[] {
        return hosts.filter(host => this.#consentOf(host, held) === undefined);
    }

    #consentOf(host: string, held: ReadonlyMap<string, number>): ClockReading | undefined {
        const statement = this.#statements.get(host);
        if (statement === undefined || statement.serviceAnswers || statement.heard === undefined) {
            return undefined;
        }
        const isSuperseded = [...held].some(([engine, revision]) =>
            (statement.holderRevisions.get(engine) ?? 0) > revision
        );
        return isSuperseded ? undefined : this.#sent.get(statement.heard);
    }
}
