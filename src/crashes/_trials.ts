/**
 * Requests that wait for their answers to begin, and the peers' requests under suspicion that do so.
 *
 * @module
 */
import { hashText } from "../decision/index.js";
import { MAXIMUM_SUSPECTED_PARTS, namesOf } from "./_attributes.js";
import { type RequestAttributes, type TrialClaim } from "./types.js";

/** A peer's claim lapses this long after it was last renewed; covers two digests and a lost one. */
const CLAIM_LIFETIME_MILLISECONDS = 1_300;

/** Claims age while they are passed on; a renewal is later by more than that. */
const RENEWAL_MARGIN_MILLISECONDS = 150;

/** An own request is no longer counted after this time, in case its end was not recorded. */
const SENT_LIFETIME_MILLISECONDS = 60_000;

/** A trial's outcome is expected within this time: its answer begins, goes on for a while, and peers hear of that. */
const OUTCOME_MILLISECONDS = 700;

/** Hosts that wait for the same trial begin at different times within this span. */
const SPREAD_MILLISECONDS = 600;

/** Few hosts are early and most are late, so that the first one is alone however many wait. */
const SPREAD_STEEPNESS = 5;

const HASH_RANGE = 4_294_967_296;

interface SentRequest {
    readonly fingerprint: string;
    readonly attributes: readonly string[];
    readonly sentAtMilliseconds: number;
    count: number;
}

interface PeerClaim {
    readonly fingerprint: string;
    readonly attributes: readonly string[];
    readonly heardAtMilliseconds: number;
    readonly renewedAtMilliseconds: number;
}

/**
 * Returns by how much a host delays its trial after the other hosts may begin theirs.
 *
 * @param host The host's name.
 * @param subject What is tried; hosts come in another order for each.
 * @returns A time within the spread, late for most hosts.
 */
export function trialDelayMilliseconds(host: string, subject: string): number {
    const uniform = hashText(`${host}\u0000${subject}`) / HASH_RANGE;
    return SPREAD_MILLISECONDS * Math.log(uniform * Math.expm1(SPREAD_STEEPNESS) + 1) / SPREAD_STEEPNESS;
}

/** Which attributes are being tried, by this host or by a peer. */
export class Trials {
    readonly #host: string;
    readonly #sent = new Map<string, SentRequest>();
    readonly #sentByAttribute = new Map<string, number>();
    readonly #claims = new Map<string, PeerClaim>();

    constructor(host: string) {
        this.#host = host;
    }

    /** Records that this host sent a request. */
    recordSent(request: RequestAttributes, nowMilliseconds: number): void {
        const known = this.#sent.get(request.fingerprint);
        if (known !== undefined) {
            known.count += 1;
            return;
        }
        const attributes = namesOf(request);
        const { fingerprint } = request;
        this.#sent.set(fingerprint, { fingerprint, attributes, sentAtMilliseconds: nowMilliseconds, count: 1 });
        attributes.forEach(attribute => this.#count(attribute, 1));
    }

    /** Records that a request of this host no longer waits for its answer to begin. */
    recordEnded(fingerprint: string): void {
        const sent = this.#sent.get(fingerprint);
        if (sent === undefined) {
            return;
        }
        sent.count -= 1;
        if (sent.count === 0) {
            this.#removeSent(sent);
        }
    }

    /** Records a peer's claim; returns whether it is news. */
    receive({ ageMilliseconds, attributes, fingerprint }: TrialClaim, nowMilliseconds: number): boolean {
        const known = this.#claims.get(fingerprint);
        const renewedAtMilliseconds = nowMilliseconds - ageMilliseconds;
        if (known !== undefined && renewedAtMilliseconds <= known.renewedAtMilliseconds + RENEWAL_MARGIN_MILLISECONDS) {
            return false;
        }
        const heardAtMilliseconds = known?.heardAtMilliseconds ?? nowMilliseconds;
        this.#claims.set(fingerprint, { fingerprint, attributes, heardAtMilliseconds, renewedAtMilliseconds });
        return known === undefined;
    }

    /** Returns whether a claim is older than a loss of its request, which was its outcome. */
    static isSettled({ ageMilliseconds }: TrialClaim, lostAtMilliseconds: number, nowMilliseconds: number): boolean {
        return nowMilliseconds - ageMilliseconds <= lostAtMilliseconds + RENEWAL_MARGIN_MILLISECONDS;
    }

    /** Ends a peer's claim whose outcome is known. */
    endClaim(fingerprint: string): void {
        this.#claims.delete(fingerprint);
    }

    isSent(attribute: string): boolean {
        return this.#sentByAttribute.has(attribute);
    }

    /** Returns whether the outcome of a request with all of some attributes is expected, of this host or of a peer. */
    isOutcomeExpected(attributes: readonly string[], nowMilliseconds: number): boolean {
        const sent = [...this.#sent.values()].map(each => ({ ...each, begunAtMilliseconds: each.sentAtMilliseconds }));
        const claims = [...this.#claims.values()].map(each => ({
            ...each,
            begunAtMilliseconds: each.heardAtMilliseconds,
        }));
        return [...sent, ...claims].some(trial =>
            nowMilliseconds - trial.begunAtMilliseconds < OUTCOME_MILLISECONDS
            && attributes.every(attribute => trial.attributes.includes(attribute))
        );
    }

    /** Returns until when an attribute is being tried at most, if it is. */
    triedUntilMilliseconds(attribute: string, nowMilliseconds: number): number | undefined {
        if (this.#sentByAttribute.has(attribute)) {
            return nowMilliseconds + CLAIM_LIFETIME_MILLISECONDS;
        }
        const ends = [...this.#claims.values()]
            .filter(({ attributes }) => attributes.includes(attribute))
            .map(({ fingerprint, renewedAtMilliseconds }) =>
                renewedAtMilliseconds + CLAIM_LIFETIME_MILLISECONDS + trialDelayMilliseconds(this.#host, fingerprint)
            )
            .filter(end => end > nowMilliseconds);
        return ends.length === 0 ? undefined : Math.max(...ends);
    }

    /** Returns this host's requests with attributes under suspicion. */
    ownClaims(isSuspected: (attribute: string) => boolean): TrialClaim[] {
        return [...this.#sent.values()].flatMap(({ attributes, fingerprint }) => {
            const suspected = attributes.filter(isSuspected).slice(0, MAXIMUM_SUSPECTED_PARTS);
            return suspected.length === 0 ? [] : [{ fingerprint, attributes: suspected, ageMilliseconds: 0 }];
        });
    }

    /** Returns the peers' claims that have not lapsed. */
    peerClaims(nowMilliseconds: number): TrialClaim[] {
        const claims = [...this.#claims.values()].filter(({ renewedAtMilliseconds }) =>
            nowMilliseconds - renewedAtMilliseconds <= CLAIM_LIFETIME_MILLISECONDS
        );
        return claims.map(({ attributes, fingerprint, renewedAtMilliseconds }) => ({
            fingerprint,
            attributes,
            ageMilliseconds: Math.max(0, Math.round(nowMilliseconds - renewedAtMilliseconds)),
        }));
    }

    expire(nowMilliseconds: number): void {
        for (const claim of this.#claims.values()) {
            if (nowMilliseconds - claim.renewedAtMilliseconds > CLAIM_LIFETIME_MILLISECONDS + SPREAD_MILLISECONDS) {
                this.#claims.delete(claim.fingerprint);
            }
        }
        for (const sent of this.#sent.values()) {
            if (nowMilliseconds - sent.sentAtMilliseconds > SENT_LIFETIME_MILLISECONDS) {
                this.#removeSent(sent);
            }
        }
    }

    #removeSent(sent: SentRequest): void {
        this.#sent.delete(sent.fingerprint);
        sent.attributes.forEach(attribute => this.#count(attribute, -1));
    }

    #count(attribute: string, change: number): void {
        const count = (this.#sentByAttribute.get(attribute) ?? 0) + change;
        if (count > 0) {
            this.#sentByAttribute.set(attribute, count);
        }
        else {
            this.#sentByAttribute.delete(attribute);
        }
    }
}
