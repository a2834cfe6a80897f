/**
 * Collects digests of engines, residency, suspects and demand for heartbeats and for starting hosts.
 *
 * @module
 */
import {
    type DemandDigest,
    type Digest,
    type EngineDigest,
    type PeerProgress,
    type PeerStatus,
    type ResidencyDigest,
    type SharedState,
    type SuspectDigest,
} from "../generated/peers.js";
import { mergeSuspectDigests } from "../requests/index.js";

const MAXIMUM_ENGINES_PER_ROUND = 512;
const MAXIMUM_RESIDENCIES_PER_ROUND = 512;
const MAXIMUM_SUSPECTS_PER_ROUND = 256;
const MAXIMUM_SUSPECTS_KEPT = 1024;
const MAXIMUM_DEMANDS_PER_ROUND = 4096;
/** Rounds that carry a changed digest, so that one lost heartbeat does not lose it. */
const REPEAT_ROUNDS = 3;
/** Rounds after which digests that originate on this host are sent again. */
const REFRESH_INTERVAL_ROUNDS = 10;

/** Source of a digest: this host or a peer. */
export type DigestOrigin = "own" | "peer";

interface TrackedDigest<Value> {
    readonly value: Value;
    readonly origin: DigestOrigin;
    remainingRounds: number;
}

interface TrackedEngine {
    readonly digest: EngineDigest;
    readonly observedAtMilliseconds: number;
    remainingRounds: number;
}

/** Digests that all heartbeats of one round carry. */
export type DigestRound = Omit<Digest, "status" | "known">;

/** Collects digests and selects those that each round of heartbeats carries. */
export interface DigestCollector {
    recordEngine(digest: EngineDigest, nowMilliseconds: number, origin: DigestOrigin): void;
    /** Returns whether the digest replaced the one held. */
    recordResidency(digest: ResidencyDigest, origin: DigestOrigin): boolean;
    recordSuspects(digests: readonly SuspectDigest[], origin: DigestOrigin): void;
    /** Adds to the demand of the current round. */
    addDemand(demand: DemandDigest): void;
    /** Ends the current round and returns the digests for its heartbeats. */
    finishRound(nowMilliseconds: number): DigestRound;
    /** Returns all residency and suspects held, for a host that has just started. */
    sharedState(): SharedState;
}

/** Options of {@linkcode createDigestCollector}. */
export interface DigestCollectorOptions {
    /** Returns whether peers' digests are forwarded, as needed where heartbeats do not reach every host. */
    readonly forwardsPeerDigests: () => boolean;
}

/** Composes one heartbeat from a round's digests and the statuses for its receiver. */
export function composeDigest(
    round: DigestRound,
    heartbeat: {
        readonly status: PeerStatus;
        readonly known: readonly PeerStatus[];
        readonly progress?: PeerProgress;
    },
): Digest {
    const progress = heartbeat.progress === undefined ? {} : { progress: heartbeat.progress };
    return { ...round, status: heartbeat.status, known: [...heartbeat.known], ...progress };
}

class Collector implements DigestCollector {
    readonly #forwardsPeerDigests: () => boolean;
    readonly #engines = new Map<string, TrackedEngine>();
    readonly #residencies = new Map<string, TrackedDigest<ResidencyDigest>>();
    readonly #suspects = new Map<string, TrackedDigest<SuspectDigest>>();
    readonly #demands = new Map<string, DemandDigest>();
    #round = 0;

    constructor(options: DigestCollectorOptions) {
        this.#forwardsPeerDigests = options.forwardsPeerDigests;
    }

    recordEngine(digest: EngineDigest, nowMilliseconds: number, origin: DigestOrigin): void {
        const observedAtMilliseconds = nowMilliseconds - digest.observedMillisecondsAgo;
        const held = this.#engines.get(digest.engine);
        if (held === undefined || held.observedAtMilliseconds < observedAtMilliseconds) {
            this.#engines.set(digest.engine, {
                digest,
                observedAtMilliseconds,
                remainingRounds: this.#roundsFor(origin, 1),
            });
        }
    }

    recordResidency(digest: ResidencyDigest, origin: DigestOrigin): boolean {
        const held = this.#residencies.get(digest.engine);
        if (held !== undefined && !this.#isNewer(digest, held.value, origin)) {
            return false;
        }
        this.#residencies.set(digest.engine, {
            value: digest,
            origin,
            remainingRounds: this.#roundsFor(origin, REPEAT_ROUNDS),
        });
        return true;
    }

    /**
     * Returns whether a digest replaces the held one. Within one revision, a holder reports fewer copies while one
     * drains. Forwarded digests may arrive in any order, so the one with fewer copies is kept.
     */
    #isNewer(digest: ResidencyDigest, held: ResidencyDigest, origin: DigestOrigin): boolean {
        if (digest.recordRevision !== held.recordRevision) {
            return digest.recordRevision > held.recordRevision;
        }
        if (origin === "peer" && this.#forwardsPeerDigests()) {
            return countCopies(digest) < countCopies(held);
        }
        return JSON.stringify(digest) !== JSON.stringify(held);
    }

    recordSuspects(digests: readonly SuspectDigest[], origin: DigestOrigin): void {
        for (const digest of digests) {
            const held = this.#suspects.get(digest.fingerprint);
            const value = held === undefined ? digest : mergeSuspectDigests(held.value, digest);
            const isChanged = origin === "own" || held === undefined
                || JSON.stringify(value) !== JSON.stringify(held.value);
            if (isChanged) {
                this.#suspects.delete(digest.fingerprint);
                this.#suspects.set(digest.fingerprint, {
                    value,
                    origin,
                    remainingRounds: this.#roundsFor(origin, REPEAT_ROUNDS),
                });
            }
        }
        this.#evictOldestSuspects();
    }

    addDemand(demand: DemandDigest): void {
        const key = `${demand.model}:${demand.adapter ?? ""}`;
        const held = this.#demands.get(key);
        const arrivals = (held?.arrivals ?? 0) + demand.arrivals;
        const missed = (held?.missed ?? 0) + demand.missed;
        this.#demands.set(key, { ...demand, arrivals, missed });
    }

    finishRound(nowMilliseconds: number): DigestRound {
        this.#round += 1;
        const refresh = this.#round % REFRESH_INTERVAL_ROUNDS === 0;
        const round = {
            engines: this.#collectDueEngines(nowMilliseconds),
            residency: collectDueDigests(this.#residencies, refresh).slice(0, MAXIMUM_RESIDENCIES_PER_ROUND),
            suspects: collectDueDigests(this.#suspects, refresh).slice(0, MAXIMUM_SUSPECTS_PER_ROUND),
            demand: [...this.#demands.values()].slice(0, MAXIMUM_DEMANDS_PER_ROUND),
        };
        this.#demands.clear();
        return round;
    }

    sharedState(): SharedState {
        return {
            residency: [...this.#residencies.values()].map(({ value }) => value),
            suspects: [...this.#suspects.values()].map(({ value }) => value),
        };
    }

    #roundsFor(origin: DigestOrigin, rounds: number): number {
        return origin === "own" || this.#forwardsPeerDigests() ? rounds : 0;
    }

    #collectDueEngines(nowMilliseconds: number): EngineDigest[] {
        const due = [...this.#engines.values()].filter(({ remainingRounds }) => remainingRounds > 0).slice(
            0,
            MAXIMUM_ENGINES_PER_ROUND,
        );
        return due.map(observed => {
            observed.remainingRounds -= 1;
            const ageMilliseconds = Math.max(0, Math.round(nowMilliseconds - observed.observedAtMilliseconds));
            return { ...observed.digest, observedMillisecondsAgo: ageMilliseconds };
        });
    }

    /** Evicts the suspects that were updated longest ago, confirmed ones last. */
    #evictOldestSuspects(): void {
        const surplus = this.#suspects.size - MAXIMUM_SUSPECTS_KEPT;
        if (surplus <= 0) {
            return;
        }
        const entries = [...this.#suspects];
        const convictedLast = [
            ...entries.filter(([, { value }]) => value.convicted !== true),
            ...entries.filter(([, { value }]) => value.convicted === true),
        ];
        convictedLast.slice(0, surplus).forEach(([fingerprint]) => this.#suspects.delete(fingerprint));
    }
}

function countCopies(digest: ResidencyDigest): number {
    return digest.models.length + digest.adapters.length;
}

function collectDueDigests<Value>(digests: ReadonlyMap<string, TrackedDigest<Value>>, refresh: boolean): Value[] {
    const due: Value[] = [];
    for (const digest of digests.values()) {
        if (digest.remainingRounds > 0 || (refresh && digest.origin === "own")) {
            due.push(digest.value);
        }
        digest.remainingRounds = Math.max(0, digest.remainingRounds - 1);
    }
    return due;
}

/**
 * Creates an empty collector.
 *
 * @param options Whether peers' digests are forwarded.
 *
 * @example
 * ```ts
 * const digests = createDigestCollector({ forwardsPeerDigests: () => false });
 * digests.addDemand({ model: "quotes", arrivals: 3, missed: 0 });
 * const round = digests.finishRound(nowMilliseconds);
 * ```
 */
export function createDigestCollector(options: DigestCollectorOptions): DigestCollector {
    return new Collector(options);
}
