/**
 * Issues tickets, and chooses the witness of each.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";
import { issueTicket, type ProcessName } from "./orderKey.js";

/** How long a witness that did not answer is avoided. */
const AVOIDANCE_MILLISECONDS = 5_000;

/** Issues tickets whose witness is a live process of another host, preferably in another zone of the same region. */
export interface TicketIssuer {
    issue(owner: ProcessName & { readonly zone?: string; readonly region?: string; }, generation: number): string;
    /** Prefers other witnesses to this one for a while. */
    avoid(witness: ProcessName, nowMilliseconds: number): void;
    expireAvoidances(nowMilliseconds: number): void;
}

/** Options of the issuer. */
export interface TicketIssuerOptions {
    readonly random: RandomSource;
    /** Returns the live processes that may be witnesses, this one included. */
    readonly candidates: () => readonly HostIdentity[];
}

/** Creates an issuer that avoids no witness yet. */
export function createTicketIssuer(options: TicketIssuerOptions): TicketIssuer {
    const avoided = new Map<string, number>();

    function penaltyOf(candidate: HostIdentity, owner: { readonly zone?: string; readonly region?: string; }): number {
        const unresponsivePenalty = avoided.has(candidate.incarnation) ? 4 : 0;
        const regionPenalty = candidate.region === owner.region ? 0 : 2;
        const zonePenalty = candidate.zone === owner.zone ? 1 : 0;
        return unresponsivePenalty + regionPenalty + zonePenalty;
    }

    function issue(
        owner: ProcessName & { readonly zone?: string; readonly region?: string; },
        generation: number,
    ): string {
        const others = options.candidates().filter(({ host }) => host !== owner.host);
        const lowestPenalty = Math.min(...others.map(other => penaltyOf(other, owner)));
        const preferred = others.filter(other => penaltyOf(other, owner) === lowestPenalty);
        const witness = preferred[Math.floor(options.random() * preferred.length)];
        const name = { host: owner.host, incarnation: owner.incarnation };
        if (witness === undefined) {
            return issueTicket({ owner: name, generation });
        }
        const { host, incarnation } = witness;
        return issueTicket({ owner: name, witness: { host, incarnation }, generation });
    }

    function expireAvoidances(nowMilliseconds: number): void {
        for (const [incarnation, untilMilliseconds] of avoided) {
            if (untilMilliseconds <= nowMilliseconds) {
                avoided.delete(incarnation);
            }
        }
    }

    return {
        issue,
        expireAvoidances,
        avoid: (witness, nowMilliseconds) =>
            void avoided.set(witness.incarnation, nowMilliseconds + AVOIDANCE_MILLISECONDS),
    };
}
