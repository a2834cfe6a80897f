/**
 * Collects what heartbeats carry about engines, residency, suspects and demand, and what a starting host is told.
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

const MOST_ENGINES_SENT = 512;
const MOST_RESIDENCIES_SENT = 512;
const MOST_SUSPECTS_SENT = 256;
const MOST_SUSPECTS_KEPT = 1024;
const MOST_DEMANDS_SENT = 4096;
/** Heartbeat rounds that repeat a fact after it was learned, so that one lost heartbeat does not lose it. */
const REPEATED_ROUNDS = 3;
/** Heartbeat rounds after which a host's own facts are sent again. */
const REFRESH_ROUNDS = 10;

/** Where a fact came from. */
export type FactOrigin = "own" | "peer";

interface Fact<Value> {
    readonly value: Value;
    readonly origin: FactOrigin;
    roundsLeft: number;
}

interface ObservedEngine {
    readonly digest: EngineDigest;
    readonly observedAtMilliseconds: number;
    roundsLeft: number;
}

/** What the heartbeats of one round carry, besides statuses. */
export type DigestRound = Omit<Digest, "status" | "known">;

/** Collects facts and composes digests from them. */
export interface DigestBoard {
    noteEngine(digest: EngineDigest, nowMilliseconds: number, origin: FactOrigin): void;
    /** Returns whether the digest is newer than the one held. */
    noteResidency(digest: ResidencyDigest, origin: FactOrigin): boolean;
    noteSuspects(digests: readonly SuspectDigest[], origin: FactOrigin): void;
    /** Adds to the demand of the current round. */
    noteDemand(demand: DemandDigest): void;
    /** Ends the current round and returns what its heartbeats carry. */
    takeRound(nowMilliseconds: number): DigestRound;
    /** Everything held that a host which has just started needs. */
    sharedState(): SharedState;
}

/** Options of {@linkcode createDigestBoard}. */
export interface DigestBoardOptions {
    /** Tells whether facts of peers are passed on, since heartbeats do not reach every host. */
    readonly relays: () => boolean;
}

/** Completes the parts of a round to the digest of one heartbeat. */
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

class Board implements DigestBoard {
    readonly #relays: () => boolean;
    readonly #engines = new Map<string, ObservedEngine>();
    readonly #residencies = new Map<string, Fact<ResidencyDigest>>();
    readonly #suspects = new Map<string, Fact<SuspectDigest>>();
    readonly #demands = new Map<string, DemandDigest>();
    #round = 0;

    constructor(options: DigestBoardOptions) {
        this.#relays = options.relays;
    }

    noteEngine(digest: EngineDigest, nowMilliseconds: number, origin: FactOrigin): void {
        const observedAtMilliseconds = nowMilliseconds - digest.observedMillisecondsAgo;
        const present = this.#engines.get(digest.engine);
        if (present === undefined || present.observedAtMilliseconds < observedAtMilliseconds) {
            this.#engines.set(digest.engine, {
                digest,
                observedAtMilliseconds,
                roundsLeft: this.#roundsFor(origin, 1),
            });
        }
    }

    noteResidency(digest: ResidencyDigest, origin: FactOrigin): boolean {
        const present = this.#residencies.get(digest.engine);
        if (present !== undefined && !this.#isNewer(digest, present.value, origin)) {
            return false;
        }
        this.#residencies.set(digest.engine, {
            value: digest,
            origin,
            roundsLeft: this.#roundsFor(origin, REPEATED_ROUNDS),
        });
        return true;
    }

    /**
     * Tells whether a digest replaces the held one. Within one revision a holder tells of fewer copies while one drains;
     * where digests are passed on, their order is unknown, and the one with fewer copies is kept.
     */
    #isNewer(digest: ResidencyDigest, held: ResidencyDigest, origin: FactOrigin): boolean {
        if (digest.recordRevision !== held.recordRevision) {
            return digest.recordRevision > held.recordRevision;
        }
        if (origin === "peer" && this.#relays()) {
            return countCopies(digest) < countCopies(held);
        }
        return JSON.stringify(digest) !== JSON.stringify(held);
    }

    noteSuspects(digests: readonly SuspectDigest[], origin: FactOrigin): void {
        for (const digest of digests) {
            const present = this.#suspects.get(digest.fingerprint);
            const value = present === undefined ? digest : mergeSuspectDigests(present.value, digest);
            const isNews = origin === "own" || present === undefined
                || JSON.stringify(value) !== JSON.stringify(present.value);
            if (isNews) {
                this.#suspects.delete(digest.fingerprint);
                this.#suspects.set(digest.fingerprint, {
                    value,
                    origin,
                    roundsLeft: this.#roundsFor(origin, REPEATED_ROUNDS),
                });
            }
        }
        this.#forgetOldSuspects();
    }

    noteDemand(demand: DemandDigest): void {
        const key = `${demand.model}:${demand.adapter ?? ""}`;
        const present = this.#demands.get(key);
        const arrivals = (present?.arrivals ?? 0) + demand.arrivals;
        const missed = (present?.missed ?? 0) + demand.missed;
        this.#demands.set(key, { ...demand, arrivals, missed });
    }

    takeRound(nowMilliseconds: number): DigestRound {
        this.#round += 1;
        const refresh = this.#round % REFRESH_ROUNDS === 0;
        const taken = {
            engines: this.#takeEngines(nowMilliseconds),
            residency: takeFacts(this.#residencies, refresh).slice(0, MOST_RESIDENCIES_SENT),
            suspects: takeFacts(this.#suspects, refresh).slice(0, MOST_SUSPECTS_SENT),
            demand: [...this.#demands.values()].slice(0, MOST_DEMANDS_SENT),
        };
        this.#demands.clear();
        return taken;
    }

    sharedState(): SharedState {
        return {
            residency: [...this.#residencies.values()].map(({ value }) => value),
            suspects: [...this.#suspects.values()].map(({ value }) => value),
        };
    }

    #roundsFor(origin: FactOrigin, rounds: number): number {
        return origin === "own" || this.#relays() ? rounds : 0;
    }

    #takeEngines(nowMilliseconds: number): EngineDigest[] {
        const due = [...this.#engines.values()].filter(({ roundsLeft }) => roundsLeft > 0).slice(0, MOST_ENGINES_SENT);
        return due.map(observed => {
            observed.roundsLeft -= 1;
            const age = Math.max(0, Math.round(nowMilliseconds - observed.observedAtMilliseconds));
            return { ...observed.digest, observedMillisecondsAgo: age };
        });
    }

    /** Forgets those learned of longest ago, convicted ones last. */
    #forgetOldSuspects(): void {
        const surplus = this.#suspects.size - MOST_SUSPECTS_KEPT;
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

function takeFacts<Value>(facts: ReadonlyMap<string, Fact<Value>>, refresh: boolean): Value[] {
    const taken: Value[] = [];
    for (const fact of facts.values()) {
        if (fact.roundsLeft > 0 || (refresh && fact.origin === "own")) {
            taken.push(fact.value);
        }
        fact.roundsLeft = Math.max(0, fact.roundsLeft - 1);
    }
    return taken;
}

/**
 * Creates a board without facts.
 *
 * @param options Whether facts of peers are passed on.
 *
 * @example
 * ```ts
 * const board = createDigestBoard({ relays: () => false });
 * board.noteDemand({ model: "quotes", arrivals: 3, missed: 0 });
 * const round = board.takeRound(now);
 * ```
 */
export function createDigestBoard(options: DigestBoardOptions): DigestBoard {
    return new Board(options);
}
