/**
 * The members that one host knows, and what statuses, silence and the platform's list make of them.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type HostIdentity, type PeerStatus } from "../generated/peers.js";
import { findSilent, FULL_MESH_HOSTS } from "./_fanOut.js";
import { type HostListing, HostListView } from "./_hostList.js";
import { markLost, type Member, type MemberChange, mergeStatus } from "./_members.js";
import { type MembershipEffect } from "./messages.js";

const FORGET_MILLISECONDS = 3_600_000;

/** Members by name, without this host itself. */
export class MemberTable {
    readonly #self: HostIdentity;
    readonly #members = new Map<string, Member>();
    #order: readonly Member[] | undefined;
    readonly hostList = new HostListView();

    constructor(self: HostIdentity) {
        this.#self = self;
    }

    /** Gives a member by name. */
    get(host: string): Member | undefined {
        return this.#members.get(host);
    }

    /** Gives all members in the order of their names. */
    all(): readonly Member[] {
        this.#order ??= [...this.#members.values()]
            .sort((left, right) => left.identity.host < right.identity.host ? -1 : 1);
        return this.#order;
    }

    /** Gives the members that are not lost. */
    heard(): Member[] {
        return this.all().filter(member => member.lostAtMilliseconds === undefined);
    }

    /** Tells whether a member leaves, by its own word or by the platform's list. */
    isLeaving(member: Member): boolean {
        return member.leaving || this.hostList.isLeaving(member.identity);
    }

    /** Tells whether hosts are too many for heartbeats between all pairs. */
    usesRumours(): boolean {
        return this.heard().length >= FULL_MESH_HOSTS;
    }

    /** Takes what a host said of itself, directly or through others. */
    take(status: PeerStatus, nowMilliseconds: number): MembershipEffect[] {
        if (status.lost === true) {
            return this.#takeLoss(status, nowMilliseconds);
        }
        const change = mergeStatus(this.#members, status, nowMilliseconds);
        if (change.type === "joined" || change.type === "replaced") {
            this.#order = undefined;
        }
        return this.#announce(change);
    }

    /** Takes a reading of the platform's list. */
    takeHostList(listing: HostListing, nowMilliseconds: number): MembershipEffect[] {
        const stayed = this.heard().filter(member => !this.isLeaving(member));
        this.hostList.update(listing, host => this.#incarnationOf(host), nowMilliseconds);
        return stayed
            .filter(member => this.isLeaving(member))
            .map(member => ({ type: "peer-leaving", identity: member.identity }));
    }

    /** Moves all deadlines by the length of a pause of this host, during which it could hear nobody. */
    forgiveOwnPause(pauseMilliseconds: number, nowMilliseconds: number): void {
        for (const member of this.#members.values()) {
            member.progressedAtMilliseconds = Math.min(
                nowMilliseconds,
                member.progressedAtMilliseconds + pauseMilliseconds,
            );
        }
    }

    /** Marks members as lost whose counters have not risen for too long. */
    findLost(nowMilliseconds: number): MembershipEffect[] {
        const silent = findSilent(this.#self, this.all(), nowMilliseconds);
        silent.forEach(member => markLost(member, member.identity.zone === this.#self.zone, nowMilliseconds));
        return silent.map(member => ({ type: "peer-down", identity: member.identity }));
    }

    /** Forgets members that are lost for long and no longer listed by the platform. */
    forgetLongLost(nowMilliseconds: number): void {
        for (const [host, member] of this.#members) {
            const lostFor = nowMilliseconds - (member.lostAtMilliseconds ?? nowMilliseconds);
            if (lostFor > FORGET_MILLISECONDS && this.hostList.isGone(host)) {
                this.#members.delete(host);
                this.#order = undefined;
            }
        }
    }

    /** Believes another zone about the loss of a host of that zone; hosts of its own zone it judges itself. */
    #takeLoss(status: PeerStatus, nowMilliseconds: number): MembershipEffect[] {
        const member = this.#members.get(status.identity.host);
        const same = member?.identity.incarnation === status.identity.incarnation;
        if (member === undefined || !same || status.identity.zone === this.#self.zone || !this.usesRumours()) {
            return [];
        }
        if (member.lostAtMilliseconds !== undefined || member.heartbeat > status.heartbeat) {
            return [];
        }
        markLost(member, true, nowMilliseconds);
        return [{ type: "peer-down", identity: member.identity }];
    }

    #announce(change: MemberChange): MembershipEffect[] {
        return match(change)
            .with({ type: "none" }, { type: "progressed" }, () => [])
            .with({ type: "joined" }, { type: "returned" }, ({ member }) => this.#announceUp(member))
            .with({ type: "replaced" }, ({ member, before, wasLost }): MembershipEffect[] => [
                ...(wasLost ? [] : [{ type: "peer-down" as const, identity: before }]),
                ...this.#announceUp(member),
            ])
            .with({ type: "began-leaving" }, ({ member }): MembershipEffect[] => [
                { type: "peer-leaving", identity: member.identity },
            ])
            .exhaustive();
    }

    #announceUp(member: Member): MembershipEffect[] {
        const up: MembershipEffect = { type: "peer-up", identity: member.identity };
        return this.isLeaving(member) ? [up, { type: "peer-leaving", identity: member.identity }] : [up];
    }

    #incarnationOf(host: string): string | undefined {
        return host === this.#self.host ? this.#self.incarnation : this.#members.get(host)?.identity.incarnation;
    }
}
