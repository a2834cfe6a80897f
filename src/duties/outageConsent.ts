/**
 * Lets holders continue to send orders during an outage of the key-value service, by consent of all other hosts.
 *
 * The service confirms a holder's session. During an outage no host can acquire an engine, and a holder may continue if
 * all other hosts state that the service does not answer them either and that they know of no later holder. A host that
 * acquires the engine after the outage waits as long as after a renewal, since it gave its consent before.
 *
 * @module
 */
import { type ClockReading } from "./clockReading.js";

/** Digests whose sending time is kept; a reply to an older one is too old to confirm a session. */
const RETAINED_DIGESTS = 16;

/** A peer's statement in its last digest. */
export interface PeerStatement {
    readonly host: string;
    /** Number of this host's last digest that the peer had received when it sent its own; `undefined` for none. */
    readonly heard: number | undefined;
    /** True while the service answers the peer. */
    readonly serviceAnswers: boolean;
    /** Revision of the latest holder record that the peer knows, by engine. */
    readonly holderRevisions: ReadonlyMap<string, number>;
}

/**
 * Determines the time from which the consent of all other hosts confirms this host as a holder.
 *
 * @example
 * ```ts
 * const consent = new OutageConsent();
 * consent.recordDigestSent(7, reading);
 * const holderRevisions = new Map([["engine-3", 41]]);
 * consent.recordStatement({ host: "entry-2", heard: 7, serviceAnswers: false, holderRevisions });
 * consent.agreedAt(["entry-2"], holderRevisions); // the reading
 * ```
 */
export class OutageConsent {
    readonly #sentDigests = new Map<number, ClockReading>();
    readonly #statements = new Map<string, PeerStatement>();

    /** Records when a digest was sent. */
    recordDigestSent(digest: number, reading: ClockReading): void {
        this.#sentDigests.set(digest, reading);
        this.#sentDigests.delete(digest - RETAINED_DIGESTS);
    }

    /** Records a peer's statement, in place of its earlier one. */
    recordStatement(statement: PeerStatement): void {
        this.#statements.set(statement.host, statement);
    }

    /**
     * Returns the reading at which the oldest of the digests was sent that the hosts answered with their consent.
     *
     * @param hosts All other hosts that could acquire engines.
     * @param held The engines that this host holds, with the revisions of its records.
     * @returns `undefined` where one of the hosts did not consent, or where `hosts` is empty.
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

    /** Returns the hosts that have not consented, for the log. */
    hostsWithoutConsent(hosts: readonly string[], held: ReadonlyMap<string, number>): string[] {
        return hosts.filter(host => this.#consentOf(host, held) === undefined);
    }

    /** Returns when the digest was sent that a host answered with its consent; `undefined` without consent. */
    #consentOf(host: string, held: ReadonlyMap<string, number>): ClockReading | undefined {
        const statement = this.#statements.get(host);
        if (statement === undefined || statement.serviceAnswers || statement.heard === undefined) {
            return undefined;
        }
        const isSuperseded = [...held].some(([engine, revision]) =>
            (statement.holderRevisions.get(engine) ?? 0) > revision
        );
        return isSuperseded ? undefined : this.#sentDigests.get(statement.heard);
    }
}
