/**
 * What this host knows of the rate limits that upstreams name for all hosts together.
 *
 * @module
 */
import { isOlderIncarnation, isSameIncarnation, type UpstreamIncarnation } from "../fleet/index.js";

/** How long a withdrawn limit is remembered, so that an older report of a peer does not bring it back. */
const WITHDRAWN_LIFETIME_MILLISECONDS = 10_000;

/** What one answer of an upstream showed of its limit. */
export interface LimitObservation {
    readonly upstream: UpstreamIncarnation;
    /** `undefined` where the answer named no limit. */
    readonly requestsPerSecond: number | undefined;
    /** When the request was sent, before which the answer cannot have been made. */
    readonly sentAtMilliseconds: number;
    /** When the head of the answer arrived, after which it cannot have been made. */
    readonly receivedAtMilliseconds: number;
    /** The host that received the answer. */
    readonly receivedBy: string;
}

/** A change of an upstream's limit. */
export interface LimitChange {
    readonly upstream: string;
    /** `undefined` where the upstream no longer names a limit. */
    readonly requestsPerSecond: number | undefined;
    /** `undefined` where it named none before. */
    readonly previousRequestsPerSecond: number | undefined;
}

function rateOf({ requestsPerSecond }: LimitObservation): number {
    return requestsPerSecond ?? Number.POSITIVE_INFINITY;
}

/**
 * Keeps the latest observation of each upstream that has named a limit.
 *
 * Answers overtake each other: the head of a slow answer is older than that of a fast one to a later request. An
 * observation certainly follows another only where its request was sent after the other's answer had arrived. A lower
 * limit is applied wherever it may follow; a higher one, and the end of a limit, only where it certainly does.
 *
 * @example
 * ```ts
 * const limits = new NamedLimits();
 * limits.record({ upstream, requestsPerSecond: 4.1, sentAtMilliseconds, receivedAtMilliseconds, receivedBy: "entry-1" });
 * limits.inForce(upstream.id)?.requestsPerSecond; // 4.1
 * ```
 */
export class NamedLimits {
    readonly #observations = new Map<string, LimitObservation>();

    /** Records an observation; returns the change of the limit in force, `undefined` where there is none. */
    record(observation: LimitObservation): LimitChange | undefined {
        const { id } = observation.upstream;
        const known = this.#observations.get(id);
        if (known === undefined) {
            return observation.requestsPerSecond === undefined ? undefined : this.#set(observation, undefined);
        }
        if (!isSameIncarnation(observation.upstream, known.upstream)) {
            return isOlderIncarnation(observation.upstream, known.upstream) ? undefined : this.#set(observation, known);
        }
        const mayFollow = observation.receivedAtMilliseconds > known.sentAtMilliseconds;
        const mustFollow = observation.sentAtMilliseconds >= known.receivedAtMilliseconds;
        const isAsLow = rateOf(observation) <= rateOf(known);
        return mustFollow || (mayFollow && isAsLow) ? this.#set(observation, known) : undefined;
    }

    /** Returns the observation behind the limit that an upstream names; `undefined` where it names none. */
    inForce(upstream: string): LimitObservation | undefined {
        const observation = this.#observations.get(upstream);
        return observation?.requestsPerSecond === undefined ? undefined : observation;
    }

    /** Returns the latest observation of an upstream that names a limit, or named one a short time ago. */
    latest(upstream: string): LimitObservation | undefined {
        return this.#observations.get(upstream);
    }

    /** Returns the latest observation of each upstream that names a limit, or named one a short time ago. */
    all(nowMilliseconds: number): LimitObservation[] {
        this.#expire(nowMilliseconds);
        return [...this.#observations.values()];
    }

    /** Returns the number of upstreams that name a limit. */
    countInForce(): number {
        return [...this.#observations.keys()].filter(upstream => this.inForce(upstream) !== undefined).length;
    }

    /** Drops what is known of an upstream. */
    forget(upstream: string): void {
        this.#observations.delete(upstream);
    }

    #set(observation: LimitObservation, known: LimitObservation | undefined): LimitChange | undefined {
        this.#observations.set(observation.upstream.id, observation);
        const { requestsPerSecond } = observation;
        const previousRequestsPerSecond = known?.requestsPerSecond;
        return requestsPerSecond === previousRequestsPerSecond
            ? undefined
            : { upstream: observation.upstream.id, requestsPerSecond, previousRequestsPerSecond };
    }

    #expire(nowMilliseconds: number): void {
        for (const [upstream, { receivedAtMilliseconds, requestsPerSecond }] of this.#observations) {
            const age = nowMilliseconds - receivedAtMilliseconds;
            if (requestsPerSecond === undefined && age > WITHDRAWN_LIFETIME_MILLISECONDS) {
                this.#observations.delete(upstream);
            }
        }
    }
}
