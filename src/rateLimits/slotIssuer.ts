/**
 * Leases the slots of one upstream to all hosts.
 *
 * @module
 */
import { type SlotRequest } from "../generated/gossip.js";

/** A host is taken to hold what it last reported for this long; it repeats its report several times in this time. */
const REPORT_LIFETIME_MILLISECONDS = 700;

/** Hosts have reported what they hold to an issuer that they have just chosen. */
const FIRST_REPORTS_MILLISECONDS = 400;

/** A lower sequence number after this time is that of a restarted process, which counts anew. */
const MAXIMUM_DELAY_MILLISECONDS = 1_000;

/** An answer to a host; `request` is the sequence number of the host's last request. */
export interface IssuedSlots {
    readonly host: string;
    readonly sequence: number;
    readonly request: number;
    /** 0 where the host is to wait. */
    readonly slots: number;
}

/** A slot that a host may not yet have reported as held. */
interface SentSlot {
    readonly sequence: number;
    readonly atMilliseconds: number;
}

interface LeasingHost {
    readonly host: string;
    readonly request: number;
    readonly receivedAtMilliseconds: number;
    readonly held: number;
    /** `undefined` where the host wants no further slot. */
    wantedSinceMilliseconds: number | undefined;
    unacknowledged: readonly SentSlot[];
    isAnswered: boolean;
}

function countHeld({ held, unacknowledged }: LeasingHost): number {
    return held + unacknowledged.length;
}

/**
 * Grants each slot to one host at a time, first to the host whose request has waited longest. Hosts report what they
 * hold; a grant counts as held until a later report includes it.
 *
 * @example
 * ```ts
 * const issuer = new SlotIssuer(now);
 * issuer.receive(request, now);
 * const answers = issuer.issue(6, now);
 * ```
 */
export class SlotIssuer {
    #issuesFromMilliseconds: number;
    readonly #hosts = new Map<string, LeasingHost>();
    #sequence = 0;

    /** @param nowMilliseconds The time from which hosts report to this issuer. */
    constructor(nowMilliseconds: number) {
        this.#issuesFromMilliseconds = nowMilliseconds + FIRST_REPORTS_MILLISECONDS;
    }

    /** Returns whether any host holds or wants slots. */
    get isActive(): boolean {
        return this.#hosts.size > 0;
    }

    /** Receives a host's request, unless it was overtaken by a later one. */
    receive(request: SlotRequest, nowMilliseconds: number): void {
        const known = this.#hosts.get(request.host);
        const wasRecentlyHeard = known !== undefined
            && nowMilliseconds - known.receivedAtMilliseconds < MAXIMUM_DELAY_MILLISECONDS;
        if (wasRecentlyHeard && request.sequence < known.request) {
            return;
        }
        const lastGrant = request.lastGrant > this.#sequence ? 0 : request.lastGrant;
        const unacknowledged = (known?.unacknowledged ?? []).filter(({ sequence }) => sequence > lastGrant);
        const isWanted = request.waitedMilliseconds !== undefined && unacknowledged.length === 0;
        this.#hosts.set(request.host, {
            host: request.host,
            request: request.sequence,
            receivedAtMilliseconds: nowMilliseconds,
            held: request.held,
            wantedSinceMilliseconds: isWanted ? nowMilliseconds - (request.waitedMilliseconds ?? 0) : undefined,
            unacknowledged,
            isAnswered: request.waitedMilliseconds === undefined,
        });
    }

    /** Grants free slots; returns an answer to each host that wants one and has not got an answer, or gets a slot. */
    issue(slots: number, nowMilliseconds: number): IssuedSlots[] {
        this.#dropExpired(nowMilliseconds);
        const isInformed = nowMilliseconds >= this.#issuesFromMilliseconds;
        const granted = isInformed ? this.#grant(slots, nowMilliseconds) : [];
        return [...granted, ...this.#answerWaiting()];
    }

    /** Answers without a slot while another host is the issuer, to which the hosts report. */
    answerWithout(nowMilliseconds: number): IssuedSlots[] {
        this.#dropExpired(nowMilliseconds);
        this.#issuesFromMilliseconds = nowMilliseconds + FIRST_REPORTS_MILLISECONDS;
        return this.#answerWaiting();
    }

    #answerWaiting(): IssuedSlots[] {
        const waiting = [...this.#hosts.values()].filter(({ isAnswered }) => !isAnswered);
        return waiting.map(host => this.#answer(host, 0));
    }

    #grant(slots: number, nowMilliseconds: number): IssuedSlots[] {
        const held = [...this.#hosts.values()].reduce((sum, host) => sum + countHeld(host), 0);
        const wanting = [...this.#hosts.values()]
            .filter(({ wantedSinceMilliseconds }) => wantedSinceMilliseconds !== undefined)
            .sort((left, right) => (left.wantedSinceMilliseconds ?? 0) - (right.wantedSinceMilliseconds ?? 0));
        return wanting.slice(0, Math.max(0, slots - held)).map(host => {
            const answer = this.#answer(host, 1);
            host.wantedSinceMilliseconds = undefined;
            const sent = { sequence: answer.sequence, atMilliseconds: nowMilliseconds };
            host.unacknowledged = [...host.unacknowledged, sent];
            return answer;
        });
    }

    #answer(host: LeasingHost, slots: number): IssuedSlots {
        this.#sequence += 1;
        host.isAnswered = true;
        return { host: host.host, sequence: this.#sequence, request: host.request, slots };
    }

    #dropExpired(nowMilliseconds: number): void {
        for (const [name, host] of this.#hosts) {
            host.unacknowledged = host.unacknowledged.filter(({ atMilliseconds }) =>
                nowMilliseconds - atMilliseconds < REPORT_LIFETIME_MILLISECONDS
            );
            const isSilent = nowMilliseconds - host.receivedAtMilliseconds >= REPORT_LIFETIME_MILLISECONDS;
            if (isSilent && host.unacknowledged.length === 0) {
                this.#hosts.delete(name);
            }
        }
    }
}
