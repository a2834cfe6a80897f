/**
 * Table of the hosts that one host knows, updated by received statuses, failure timeouts and the platform's list.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type HostIdentity, type PeerStatus } from "../generated/peers.js";
import { findUnresponsive, FULL_MESH_HOSTS } from "./_fanOut.js";
import { type HostListing, HostListView } from "./_hostList.js";
import { markLost, type Member, type MemberChange, mergeStatus } from "./_members.js";
import { type MembershipEffect } from "./messages.js";

const LOST_MEMBER_RETENTION_MILLISECONDS = 3_600_000;

/** Keeps the members by name, without this host itself. */
export class MemberTable {
    readonly #self: HostIdentity;
    readonly #members = new Map<string, Member>();
    #order: readonly Member[] | undefined;
    readonly hostList = new HostListView();

    constructor(self: HostIdentity) {
        this.#self = self;
    }

    /** Returns a member by name. */
    get(host: string): Member | undefined {
        return this.#members.get(host);
    }

    /** Returns all members in the order of their names. */
    all(): readonly Member[] {
        this.#order ??= [...this.#members.values()]
            .sort((left, right) => left.identity.host < right.identity.host ? -1 : 1);
        return this.#order;
    }

    /** Returns the members that are not lost, leaving ones included. */
    liveMembers(): Member[] {
        return this.all().filter(member => member.lostAtMilliseconds === undefined);
    }

    /** Returns whether a member is leaving, by its own status or by the platform's list. */
    isLeaving(member: Member): boolean {
        return member.leaving || this.hostList.isLeaving(member.identity);
    }

    /** Returns whether there are too many hosts for heartbeats between all pairs. */
    exceedsFullMesh(): boolean {
        return this.liveMembers().length >= FULL_MESH_HOSTS;
    }

    /** Applies a host's status, received from it or forwarded by others. */
    applyStatus(status: PeerStatus, nowMilliseconds: number): MembershipEffect[] {
        if (status.lost === true) {
            return this.#applyReportedLoss(status, nowMilliseconds);
        }
        const change = mergeStatus(this.#members, status, nowMilliseconds);
        if (change.type === "joined" || change.type === "replaced") {
            this.#order = undefined;
        }
        return this.#effectsOf(change);
    }

    /** Applies a reading of the platform's list. */
    applyHostList(listing: HostListing, nowMilliseconds: number): MembershipEffect[] {
        const notLeaving = this.liveMembers().filter(member => !this.isLeaving(member));
        this.hostList.update(listing, host => this.#incarnationOf(host), nowMilliseconds);
        return notLeaving
            .filter(member => this.isLeaving(member))
            .map(member => ({ type: "peer-leaving", identity: member.identity }));
    }

    /** Postpones all failure timeouts by the length of a pause, in which this process received no heartbeats. */
    postponeTimeouts(pauseMilliseconds: number, nowMilliseconds: number): void {
        for (const member of this.#members.values()) {
            member.progressedAtMilliseconds = Math.min(
                nowMilliseconds,
                member.progressedAtMilliseconds + pauseMilliseconds,
            );
        }
    }

    /** Marks members as lost whose counters did not rise within the failure timeout. */
    detectFailures(nowMilliseconds: number): MembershipEffect[] {
        const unresponsive = findUnresponsive(this.#self, this.all(), nowMilliseconds);
        unresponsive.forEach(member => markLost(member, member.identity.zone === this.#self.zone, nowMilliseconds));
        return unresponsive.map(member => ({ type: "peer-down", identity: member.identity }));
    }

    /** Removes members that have been lost for the retention time and that the platform no longer lists. */
    removeLongLost(nowMilliseconds: number): void {
        for (const [host, member] of this.#members) {
            const lostForMilliseconds = nowMilliseconds - (member.lostAtMilliseconds ?? nowMilliseconds);
            if (lostForMilliseconds > LOST_MEMBER_RETENTION_MILLISECONDS && this.hostList.isUnlisted(host)) {
                this.#members.delete(host);
                this.#order = undefined;
            }
        }
    }

    /**
     * Applies a reported loss of a host of another zone, beyond the full mesh. Other reports are ignored, since this host
     * monitors the hosts of its own zone itself.
     */
    #applyReportedLoss(status: PeerStatus, nowMilliseconds: number): MembershipEffect[] {
        const member = this.#members.get(status.identity.host);
        const isSameIncarnation = member?.identity.incarnation === status.identity.incarnation;
        if (
            member === undefined || !isSameIncarnation || status.identity.zone === this.#self.zone
            || !this.exceedsFullMesh()
        ) {
            return [];
        }
        if (member.lostAtMilliseconds !== undefined || member.heartbeat > status.heartbeat) {
            return [];
        }
        markLost(member, true, nowMilliseconds);
        return [{ type: "peer-down", identity: member.identity }];
    }

    #effectsOf(change: MemberChange): MembershipEffect[] {
        return match(change)
            .with({ type: "none" }, { type: "progressed" }, () => [])
            .with({ type: "joined" }, { type: "returned" }, ({ member }) => this.#peerUpEffects(member))
            .with({ type: "replaced" }, ({ member, previousIdentity, wasLost }): MembershipEffect[] => [
                ...(wasLost ? [] : [{ type: "peer-down" as const, identity: previousIdentity }]),
                ...this.#peerUpEffects(member),
            ])
            .with({ type: "began-leaving" }, ({ member }): MembershipEffect[] => [
                { type: "peer-leaving", identity: member.identity },
            ])
            .exhaustive();
    }

    #peerUpEffects(member: Member): MembershipEffect[] {
        const up: MembershipEffect = { type: "peer-up", identity: member.identity };
        return this.isLeaving(member) ? [up, { type: "peer-leaving", identity: member.identity }] : [up];
    }

    #incarnationOf(host: string): string | undefined {
        return host === this.#self.host ? this.#self.incarnation : this.#members.get(host)?.identity.incarnation;
    }
}
