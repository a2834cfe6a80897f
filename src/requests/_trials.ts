/**
 * Claims of hosts to run one suspect by itself on an engine that all hosts leave alone meanwhile.
 *
 * A host announces a claim, waits until its peers' conflicting claims can have arrived, and then runs the suspect.
 * Of two claims for one engine or one fingerprint a running one wins, then the one whose identifier ranks higher, which both hosts
 * agree on.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";
import { type SuspectTrial } from "../generated/peers.js";

const CLAIM_LEASE_MILLISECONDS = 5_000;
const ENDED_KEPT_MILLISECONDS = 600_000;

/** Time within which peers' claims arrive, twice over. */
export const SETTLE_MILLISECONDS = 300;

/** A host's claim on an engine for one fingerprint. */
export interface Claim {
    readonly identifier: string;
    readonly host: string;
    readonly fingerprint: string;
    readonly engine: string;
    readonly announcedAtMilliseconds: number;
    /** The engine's process, once the suspect runs. */
    incarnation: string | undefined;
    state: "claimed" | "running";
    expiresAtMilliseconds: number;
    probedAtMilliseconds: number;
    /** How often its host has repeated it. */
    renewal: number;
}

/** All claims that this host knows, its own included. */
export interface Trials {
    announce(claim: Omit<Claim, "expiresAtMilliseconds" | "probedAtMilliseconds" | "renewal">): Claim;
    hear(fingerprint: string, trial: SuspectTrial, nowMilliseconds: number): void;
    /** Ends one of this host's claims. */
    end(claim: Claim, nowMilliseconds: number): void;
    isSetApart(engine: string, nowMilliseconds: number): boolean;
    /** Claims on a fingerprint, in order of their identifiers. */
    listFor(fingerprint: string, nowMilliseconds: number): readonly Claim[];
    listOn(engine: string, nowMilliseconds: number): readonly Claim[];
    /** Tells whether one of this host's claims has to give way to another. */
    mustYield(claim: Claim, nowMilliseconds: number): boolean;
    listOwn(): readonly Claim[];
    /** Tells until when healthy work has the engine to itself after a trial. */
    restsUntil(engine: string): number;
}

/**
 * Creates an empty list of claims.
 *
 * @param host Name of this host.
 * @returns The list.
 */
export function createTrials(host: string): Trials {
    const claims = new Map<string, Claim>();
    const ended = new Map<string, number>();
    const rests = new Map<string, number>();
    const listLive = (nowMilliseconds: number): Claim[] => {
        for (const claim of claims.values()) {
            if (claim.host !== host && claim.expiresAtMilliseconds <= nowMilliseconds) {
                claims.delete(claim.identifier);
                ended.set(claim.identifier, nowMilliseconds + ENDED_KEPT_MILLISECONDS);
            }
        }
        return [...claims.values()].sort((left, right) => left.identifier < right.identifier ? -1 : 1);
    };
    const finish = (identifier: string, nowMilliseconds: number): void => {
        const claim = claims.get(identifier);
        claims.delete(identifier);
        forgetBefore(ended, nowMilliseconds);
        ended.set(identifier, nowMilliseconds + ENDED_KEPT_MILLISECONDS);
        if (claim?.state === "running") {
            const lastedMilliseconds = nowMilliseconds - claim.announcedAtMilliseconds;
            rests.set(claim.engine, nowMilliseconds + lastedMilliseconds);
        }
    };
    return {
        announce: announced => {
            const claim = {
                ...announced,
                expiresAtMilliseconds: Number.POSITIVE_INFINITY,
                probedAtMilliseconds: 0,
                renewal: 0,
            };
            claims.set(claim.identifier, claim);
            return claim;
        },
        hear: (fingerprint, trial, nowMilliseconds) => {
            if (trial.host === host || ended.has(trial.identifier)) {
                return;
            }
            if (trial.state === "ended") {
                finish(trial.identifier, nowMilliseconds);
                return;
            }
            const known = claims.get(trial.identifier);
            const renewal = trial.renewal ?? 0;
            if (known !== undefined && renewal <= known.renewal) {
                return;
            }
            claims.set(trial.identifier, {
                identifier: trial.identifier,
                host: trial.host,
                fingerprint,
                engine: trial.engine,
                announcedAtMilliseconds: known?.announcedAtMilliseconds ?? nowMilliseconds,
                incarnation: trial.incarnation ?? known?.incarnation,
                state: known?.state === "running" ? "running" : trial.state,
                expiresAtMilliseconds: nowMilliseconds + CLAIM_LEASE_MILLISECONDS,
                probedAtMilliseconds: 0,
                renewal,
            });
        },
        end: (claim, nowMilliseconds) => {
            finish(claim.identifier, nowMilliseconds);
        },
        isSetApart: (engine, nowMilliseconds) => listLive(nowMilliseconds).some(claim => claim.engine === engine),
        listFor: (fingerprint, nowMilliseconds) =>
            listLive(nowMilliseconds).filter(claim => claim.fingerprint === fingerprint),
        listOn: (engine, nowMilliseconds) => listLive(nowMilliseconds).filter(claim => claim.engine === engine),
        mustYield: (claim, nowMilliseconds) => {
            if (claim.state === "running") {
                return false;
            }
            const conflicts = listLive(nowMilliseconds).filter(other =>
                other.host !== host && (other.engine === claim.engine || other.fingerprint === claim.fingerprint)
            );
            return conflicts.some(other => winsOver(other, claim));
        },
        listOwn: () => [...claims.values()].filter(claim => claim.host === host),
        restsUntil: engine => rests.get(engine) ?? 0,
    };
}

function winsOver(other: Claim, own: Claim): boolean {
    if (other.state === "running") {
        return true;
    }
    return rankByRendezvous("", [other.identifier, own.identifier])[0] === other.identifier;
}

function forgetBefore(ended: Map<string, number>, nowMilliseconds: number): void {
    for (const [identifier, until] of ended) {
        if (until > nowMilliseconds) {
            return;
        }
        ended.delete(identifier);
    }
}
