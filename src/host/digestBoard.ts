/**
 * Collects what the next heartbeats carry about engines, residency, suspects and demand.
 *
 * @module
 */
import {
    type DemandDigest,
    type Digest,
    type EngineDigest,
    type PeerStatus,
    type ResidencyDigest,
    type SuspectDigest,
} from "../generated/peers.js";

const MOST_ENGINES = 512;
const MOST_RESIDENCIES = 512;
const MOST_SUSPECTS = 256;
const MOST_DEMANDS = 4096;
/** Heartbeat rounds that repeat a fact after it was learned, so that one lost heartbeat does not lose it. */
const REPEATED_ROUNDS = 3;
/** Heartbeat rounds after which every held fact is sent again. */
const REFRESH_ROUNDS = 10;

interface Fact<Value> {
    value: Value;
    roundsLeft: number;
}

/** Collects facts and composes digests from them. */
export interface DigestBoard {
    noteEngine(digest: EngineDigest, nowMilliseconds: number): void;
    /** Returns whether the digest is newer than the one held. */
    noteResidency(digest: ResidencyDigest): boolean;
    noteSuspects(digests: readonly SuspectDigest[]): void;
    /** Adds to the demand of the current round. */
    noteDemand(demand: DemandDigest): void;
    /** Ends the current round and returns what its heartbeats carry. */
    takeRound(nowMilliseconds: number): Omit<Digest, "status" | "known">;
}

/** Completes the parts of a round to the digest of one heartbeat. */
export function composeDigest(
    round: Omit<Digest, "status" | "known">,
    heartbeat: { readonly status: PeerStatus; readonly known: readonly PeerStatus[]; },
): Digest {
    return { ...round, status: heartbeat.status, known: [...heartbeat.known] };
}

/**
 * Creates a board without facts.
 *
 * @example
 * ```ts
 * const board = createDigestBoard();
 * board.noteDemand({ model: "quotes", arrivals: 3, missed: 0 });
 * const round = board.takeRound(now);
 * ```
 */
export function createDigestBoard(): DigestBoard {
    const engines = new Map<string, { readonly digest: EngineDigest; readonly observedAtMilliseconds: number; }>();
    const residencies = new Map<string, Fact<ResidencyDigest>>();
    const suspects = new Map<string, Fact<SuspectDigest>>();
    const demands = new Map<string, DemandDigest>();
    let round = 0;

    return {
        noteEngine(digest, nowMilliseconds) {
            engines.set(digest.engine, {
                digest,
                observedAtMilliseconds: nowMilliseconds - digest.observedMillisecondsAgo,
            });
        },
        noteResidency(digest) {
            const present = residencies.get(digest.engine);
            if (present !== undefined && present.value.recordRevision >= digest.recordRevision) {
                return false;
            }
            residencies.set(digest.engine, { value: digest, roundsLeft: REPEATED_ROUNDS });
            return true;
        },
        noteSuspects(digests) {
            for (const digest of digests) {
                suspects.set(digest.fingerprint, { value: digest, roundsLeft: REPEATED_ROUNDS });
            }
        },
        noteDemand(demand) {
            const key = `${demand.model}:${demand.adapter ?? ""}`;
            const present = demands.get(key);
            const arrivals = (present?.arrivals ?? 0) + demand.arrivals;
            const missed = (present?.missed ?? 0) + demand.missed;
            demands.set(key, { ...demand, arrivals, missed });
        },
        takeRound(nowMilliseconds) {
            round += 1;
            const refresh = round % REFRESH_ROUNDS === 0;
            const taken = {
                engines: takeEngines(engines, nowMilliseconds),
                residency: takeFacts(residencies, refresh).slice(0, MOST_RESIDENCIES),
                suspects: takeFacts(suspects, refresh).slice(0, MOST_SUSPECTS),
                demand: [...demands.values()].slice(0, MOST_DEMANDS),
            };
            demands.clear();
            return taken;
        },
    };
}

/** Takes each observed engine once: it is sent again when it was observed again. */
function takeEngines(
    engines: Map<string, { readonly digest: EngineDigest; readonly observedAtMilliseconds: number; }>,
    nowMilliseconds: number,
): EngineDigest[] {
    const taken = [...engines.values()].slice(0, MOST_ENGINES).map(({ digest, observedAtMilliseconds }) => ({
        ...digest,
        observedMillisecondsAgo: Math.max(0, Math.round(nowMilliseconds - observedAtMilliseconds)),
    }));
    engines.clear();
    return taken;
}

function takeFacts<Value>(facts: ReadonlyMap<string, Fact<Value>>, refresh: boolean): Value[] {
    const taken: Value[] = [];
    for (const fact of facts.values()) {
        if (fact.roundsLeft > 0 || refresh) {
            taken.push(fact.value);
        }
        fact.roundsLeft = Math.max(0, fact.roundsLeft - 1);
    }
    return taken;
}
