/**
 * Leases the slots of upstreams to the hosts, for one request each.
 *
 * @module
 */
import { type SlotGrant, type SlotRequest } from "../generated/gossip.js";
import { IssuerChoice } from "./_issuerChoice.js";
import { HostSlots } from "./hostSlots.js";
import { SlotIssuer } from "./slotIssuer.js";

/** A message to the host that leases an upstream's slots, or from it. */
export type SlotMessage = SlotRequest | SlotGrant;

/** Options of {@linkcode SlotLeases}. */
export interface SlotLeasesOptions {
    readonly host: string;
    /** Returns the live hosts that are not leaving. */
    readonly issuingHosts: () => readonly string[];
    /** Returns whether this host's requests to an upstream need a leased slot. */
    readonly isLeased: (upstream: string) => boolean;
    /** Returns the slots of an upstream; 0 where it is not known. */
    readonly slotsOf: (upstream: string) => number;
    /** Returns this host's requests that are in flight at an upstream. */
    readonly inFlight: (upstream: string) => number;
    /** Sends a message to another host; it may be lost. */
    readonly send: (host: string, message: SlotMessage) => void;
    /** A slot was granted, is not free yet or is no longer needed, so that requests that wait should be decided on again. */
    readonly onAnswered: (upstream: string) => void;
    /** Called where `tick` must be called from now on. */
    readonly onActive: () => void;
}

interface LeasedUpstream {
    readonly slots: HostSlots;
    issuer: string;
}

/**
 * Each slot of an upstream is held by one host at a time, for one request. One host leases them: the first by
 * rendezvous hashing among the live hosts, to the request that has waited longest. A slot is given back when its request
 * ends, so that no host keeps one while others wait. A host that is asked, but asks another itself, leases none: hosts
 * that disagree on the issuer do not lease a slot twice. It then finds out whether the other one still answers.
 *
 * @example
 * ```ts
 * const leases = new SlotLeases({ host, issuingHosts, isLeased, slotsOf, inFlight, send, onAnswered, onActive });
 * if (!leases.isFree("i-1", now)) {
 *     leases.request(["i-1", "i-2"], arrivedAtMilliseconds, now);
 * }
 * ```
 */
export class SlotLeases {
    readonly #options: SlotLeasesOptions;
    readonly #issuerChoice: IssuerChoice;
    readonly #leased = new Map<string, LeasedUpstream>();
    readonly #issuers = new Map<string, SlotIssuer>();

    constructor(options: SlotLeasesOptions) {
        this.#options = options;
        this.#issuerChoice = new IssuerChoice(options);
    }

    /** Returns whether `tick` must be called every few milliseconds. */
    get isActive(): boolean {
        return [...this.#issuers.values()].some(issuer => issuer.isActive)
            || [...this.#leased].some(([upstream, { slots }]) => slots.isWanted || this.#isActive(upstream, slots));
    }

    /** Returns whether a slot of an upstream is leased to this host that no request uses. */
    isFree(upstream: string, nowMilliseconds: number): boolean {
        return this.#leased.get(upstream)?.slots.isFree(nowMilliseconds) === true;
    }

    /**
     * Asks for a slot of one of some upstreams; of the next one only where those asked before have none free.
     *
     * @param upstreams Upstreams that could run a request, the one first that is most likely to have a free slot.
     * @param sinceMilliseconds Since when the request has waited.
     * @param nowMilliseconds The time.
     */
    request(upstreams: readonly string[], sinceMilliseconds: number, nowMilliseconds: number): void {
        const leased = upstreams.map(upstream => [upstream, this.#leasedUpstream(upstream, nowMilliseconds)] as const);
        const awaitsAnswer = leased.some(([, { slots }]) => slots.awaitsAnswer);
        const next = awaitsAnswer ? undefined : leased.find(([, { slots }]) => !slots.isWanted);
        const asked = leased.filter(([, { slots }]) => slots.isWanted);
        for (const [upstream, { slots }] of next === undefined ? asked : [...asked, next]) {
            slots.want(sinceMilliseconds, nowMilliseconds);
            this.#sendRequest(upstream, nowMilliseconds);
        }
    }

    /** Records that a request is sent, which uses a leased slot where there is one. */
    recordSent(upstream: string, nowMilliseconds: number): void {
        this.#leased.get(upstream)?.slots.recordSent(nowMilliseconds);
    }

    /** Records that a request at an upstream has ended, so that its slot is given back. */
    recordEnded(upstream: string, nowMilliseconds: number): void {
        const leased = this.#leased.get(upstream);
        if (leased !== undefined) {
            leased.slots.recordEnded();
            this.#sendRequest(upstream, nowMilliseconds);
        }
    }

    /** Records that an upstream rejected a request; a slot that was leased for it is held back for a time. */
    recordRejected(upstream: string, heldBackMilliseconds: number, nowMilliseconds: number): void {
        this.#leased.get(upstream)?.slots.recordRejected(heldBackMilliseconds, nowMilliseconds);
    }

    /** Receives a message of another host. */
    receive(message: SlotMessage, nowMilliseconds: number): void {
        if (message.type === "slot-request") {
            this.#receiveRequest(message, nowMilliseconds);
        }
        else {
            this.#receiveGrant(message, nowMilliseconds);
        }
    }

    /** Sends requests for slots that are due, and leases slots. */
    tick(nowMilliseconds: number): void {
        for (const [upstream, { slots }] of this.#leased) {
            if (this.#isActive(upstream, slots)) {
                this.#sendRequest(upstream, nowMilliseconds);
            }
            else if (slots.isWanted) {
                slots.stopWanting();
                this.#options.onAnswered(upstream);
            }
        }
        for (const upstream of this.#issuers.keys()) {
            this.#issue(upstream, nowMilliseconds);
        }
    }

    /** Drops what is known of an upstream. */
    forget(upstream: string): void {
        this.#leased.delete(upstream);
        this.#issuers.delete(upstream);
        this.#issuerChoice.forget(upstream);
    }

    /** Returns whether the issuer must hear of this host; not once its requests need no leased slot any more. */
    #isActive(upstream: string, slots: HostSlots): boolean {
        const { inFlight, isLeased } = this.#options;
        return isLeased(upstream) && slots.isActive(inFlight(upstream));
    }

    /** Returns the slots of an upstream, and makes sure that they are asked of the present issuer. */
    #leasedUpstream(upstream: string, nowMilliseconds: number): LeasedUpstream {
        const known = this.#leased.get(upstream);
        if (known?.slots.isIssuerUnresponsive === true) {
            this.#issuerChoice.passOver(known.issuer, nowMilliseconds);
        }
        const issuer = this.#issuerChoice.choose(upstream, nowMilliseconds);
        if (known === undefined) {
            const leased = { slots: new HostSlots(), issuer };
            this.#leased.set(upstream, leased);
            return leased;
        }
        if (known.issuer !== issuer) {
            known.issuer = issuer;
            known.slots.resetIssuer();
        }
        return known;
    }

    #sendRequest(upstream: string, nowMilliseconds: number): void {
        const { host, inFlight, onActive, send } = this.#options;
        const { issuer, slots } = this.#leasedUpstream(upstream, nowMilliseconds);
        const wanted = slots.nextRequest(inFlight(upstream), nowMilliseconds);
        if (wanted === undefined) {
            return;
        }
        onActive();
        const request: SlotRequest = { type: "slot-request", host, upstream, ...wanted };
        if (issuer === host) {
            this.#receiveRequest(request, nowMilliseconds);
        }
        else {
            send(issuer, request);
        }
    }

    #receiveRequest(request: SlotRequest, nowMilliseconds: number): void {
        const { upstream } = request;
        const issuer = this.#issuers.get(upstream) ?? new SlotIssuer(nowMilliseconds);
        this.#issuers.set(upstream, issuer);
        issuer.receive(request, nowMilliseconds);
        this.#issue(upstream, nowMilliseconds);
        this.#options.onActive();
        if (request.waitedMilliseconds !== undefined && !this.#isIssuer(upstream, nowMilliseconds)) {
            this.request([upstream], nowMilliseconds, nowMilliseconds);
        }
    }

    /** Returns whether this host asks itself; one that asks another leases nothing, since that one may do so. */
    #isIssuer(upstream: string, nowMilliseconds: number): boolean {
        const issuer = this.#leased.has(upstream)
            ? this.#leasedUpstream(upstream, nowMilliseconds).issuer
            : this.#issuerChoice.choose(upstream, nowMilliseconds);
        return issuer === this.#options.host;
    }

    #issue(upstream: string, nowMilliseconds: number): void {
        const { host, send, slotsOf } = this.#options;
        const issuer = this.#issuers.get(upstream);
        const answers = this.#isIssuer(upstream, nowMilliseconds)
            ? issuer?.issue(slotsOf(upstream), nowMilliseconds)
            : issuer?.answerWithout(nowMilliseconds);
        for (const { host: receiver, ...answer } of answers ?? []) {
            const grant: SlotGrant = { type: "slot-grant", host, upstream, ...answer };
            if (receiver === host) {
                this.#receiveGrant(grant, nowMilliseconds);
            }
            else {
                send(receiver, grant);
            }
        }
    }

    #receiveGrant(grant: SlotGrant, nowMilliseconds: number): void {
        const leased = this.#leased.get(grant.upstream);
        if (leased?.issuer === grant.host && leased.slots.receive(grant, nowMilliseconds)) {
            this.#options.onAnswered(grant.upstream);
        }
    }
}
