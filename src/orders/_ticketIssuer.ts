/**
 * Chooses the witness of a ticket.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity } from "../generated/peers.js";
import { issueTicket, type ProcessName } from "./orderKey.js";

/** How long a witness that gave no answer is passed over. */
const AVOID_MILLISECONDS = 5_000;

/** Issues tickets for the hosts that are known to live. */
export interface TicketIssuer {
    issue(owner: ProcessName & { readonly zone?: string; readonly region?: string; }, generation: number): string;
    /** Passes a witness over for a while. */
    avoid(witness: ProcessName, nowMilliseconds: number): void;
    advance(nowMilliseconds: number): void;
}

/** Options of the issuer. */
export interface TicketIssuerOptions {
    readonly random: RandomSource;
    /** Every live process, this one too. */
    readonly candidates: () => readonly HostIdentity[];
}

/** Creates an issuer that avoids no witness yet. */
export function createTicketIssuer(options: TicketIssuerOptions): TicketIssuer {
    const avoided = new Map<string, number>();

    function rank(candidate: HostIdentity, owner: { readonly zone?: string; readonly region?: string; }): number {
        const silent = avoided.has(candidate.incarnation) ? 4 : 0;
        const farther = candidate.region === owner.region ? 0 : 2;
        const together = candidate.zone === owner.zone ? 1 : 0;
        return silent + farther + together;
    }

    function issue(
        owner: ProcessName & { readonly zone?: string; readonly region?: string; },
        generation: number,
    ): string {
        const others = options.candidates().filter(({ host }) => host !== owner.host);
        const best = Math.min(...others.map(other => rank(other, owner)));
        const preferred = others.filter(other => rank(other, owner) === best);
        const witness = preferred[Math.floor(options.random() * preferred.length)];
        const name = { host: owner.host, incarnation: owner.incarnation };
        if (witness === undefined) {
            return issueTicket({ owner: name, generation });
        }
        const { host, incarnation } = witness;
        return issueTicket({ owner: name, witness: { host, incarnation }, generation });
    }

    function advance(nowMilliseconds: number): void {
        for (const [incarnation, untilMilliseconds] of avoided) {
            if (untilMilliseconds <= nowMilliseconds) {
                avoided.delete(incarnation);
            }
        }
    }

    return {
        issue,
        advance,
        avoid: (witness, nowMilliseconds) =>
            void avoided.set(witness.incarnation, nowMilliseconds + AVOID_MILLISECONDS),
    };
}
