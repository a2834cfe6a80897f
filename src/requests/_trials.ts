/**
 * Claims of hosts to run one suspect alone on an engine, to which no host sends other requests meanwhile.
 *
 * A host announces a claim, waits long enough for conflicting claims of its peers to arrive, and then runs the suspect.
 * Of two claims on one engine or one fingerprint, a running one wins, then the one whose identifier ranks higher; the
 * ranking is the same on all hosts.
 *
 * @module
 */
import { rankByRendezvous } from "../decision/index.js";
import { type SuspectTrial } from "../generated/peers.js";

const CLAIM_LEASE_MILLISECONDS = 5_000;
const ENDED_CLAIM_RETENTION_MILLISECONDS = 600_000;

/** Twice the time within which peers' claims arrive. */
export const CLAIM_SETTLE_MILLISECONDS = 300;

/** A host's claim on an engine for the trial of one fingerprint. */
export interface Claim {
    readonly identifier: string;
    readonly host: string;
    readonly fingerprint: string;
    readonly engine: string;
    readonly announcedAtMilliseconds: number;
    /** Incarnation of the engine, once the suspect runs. */
    incarnation: string | undefined;
    state: "claimed" | "running";
    expiresAtMilliseconds: number;
    probedAtMilliseconds: number;
    /** Number of times its host has published it; peers ignore claims without a newer number. */
    renewal: number;
}

/** All claims that this host knows, its own included. */
export interface Trials {
    announce(claim: Omit<Claim, "expiresAtMilliseconds" | "probedAtMilliseconds" | "renewal">): Claim;
    /** Records a peer's claim, or its end; ignores claims already ended or not renewed since. */
    recordPeerClaim(fingerprint: string, trial: SuspectTrial, nowMilliseconds: number): void;
    /** Ends one of this host's claims. */
    end(claim: Claim, nowMilliseconds: number): void;
    /** Returns whether any host has a claim on the engine. */
    isReserved(engine: string, nowMilliseconds: number): boolean;
    /** Returns the claims on a fingerprint, in order of their identifiers. */
    listFor(fingerprint: string, nowMilliseconds: number): readonly Claim[];
    listOn(engine: string, nowMilliseconds: number): readonly Claim[];
    /** Returns whether one of this host's claims must yield to another. */
    mustYield(claim: Claim, nowMilliseconds: number): boolean;
    listOwn(): readonly Claim[];
    /** Returns until when the engine is not claimed again after a trial, so that other requests can use it. */
    cooldownEndMilliseconds(engine: string): number;
}

/**
 * Creates an empty list of claims.
 *
 * @param host Name of this host.
 * @returns The list.
 */
export function createTrials(host: string): Trials {
    const claims = new Map<string, Claim>();
    const endedClaims = new Map<string, number>();
    const cooldownEnds = new Map<string, number>();
    const listLive = (nowMilliseconds: number): Claim[] => {
        for (const claim of claims.values()) {
            if (claim.host !== host && claim.expiresAtMilliseconds <= nowMilliseconds) {
                claims.delete(claim.identifier);
                endedClaims.set(claim.identifier, nowMilliseconds + ENDED_CLAIM_RETENTION_MILLISECONDS);
            }
        }
        return [...claims.values()].sort((left, right) => left.identifier < right.identifier ? -1 : 1);
    };
    const removeClaim = (identifier: string, nowMilliseconds: number): void => {
        const claim = claims.get(identifier);
        claims.delete(identifier);
        dropExpired(endedClaims, nowMilliseconds);
        endedClaims.set(identifier, nowMilliseconds + ENDED_CLAIM_RETENTION_MILLISECONDS);
        if (claim?.state === "running") {
            const durationMilliseconds = nowMilliseconds - claim.announcedAtMilliseconds;
            cooldownEnds.set(claim.engine, nowMilliseconds + durationMilliseconds);
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
        recordPeerClaim: (fingerprint, trial, nowMilliseconds) => {
            if (trial.host === host || endedClaims.has(trial.identifier)) {
                return;
            }
            if (trial.state === "ended") {
                removeClaim(trial.identifier, nowMilliseconds);
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
            removeClaim(claim.identifier, nowMilliseconds);
        },
        isReserved: (engine, nowMilliseconds) => listLive(nowMilliseconds).some(claim => claim.engine === engine),
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
        cooldownEndMilliseconds: engine => cooldownEnds.get(engine) ?? 0,
    };
}

function winsOver(other: Claim, ownClaim: Claim): boolean {
    if (other.state === "running") {
        return true;
    }
    return rankByRendezvous("", [other.identifier, ownClaim.identifier])[0] === other.identifier;
}

function dropExpired(endedClaims: Map<string, number>, nowMilliseconds: number): void {
    for (const [identifier, expiresAtMilliseconds] of endedClaims) {
        if (expiresAtMilliseconds > nowMilliseconds) {
            return;
        }
        endedClaims.delete(identifier);
    }
}
