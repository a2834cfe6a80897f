/**
 * The membership decision of one host.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision, type RandomSource } from "../decision/index.js";
import { type HostIdentity, type PeerStatus } from "../generated/peers.js";
import { chooseTargets, failureTimeout, FULL_MESH_HOSTS, sample } from "./_fanOut.js";
import { HostListView } from "./_hostList.js";
import { selectKnown } from "./_known.js";
import { markLost, type Member, type MemberChange, mergeStatus, renderStatus } from "./_members.js";
import { type CallerPlace, choosePoller, rankByDistance } from "./_ranking.js";
import { type MembershipEffect, type MembershipMessage } from "./messages.js";

const HEARTBEAT_INTERVAL_MILLISECONDS = 1000;
const UNREACHABLE_MILLISECONDS = 2500;
const FORGET_MILLISECONDS = 3_600_000;
/** A gap between two ticks beyond this is this host's own pause, not silence of others. */
const OWN_PAUSE_MILLISECONDS = 1500;
/** Lost or not yet known hosts that are tried with each heartbeat. */
const PROBES_PER_HEARTBEAT = 3;

/** Options of {@linkcode createMembershipDecision}. */
export interface MembershipOptions {
    readonly identity: HostIdentity;
    readonly random: RandomSource;
}

/** The membership decision, with the questions that other tasks ask it. */
export interface MembershipDecision extends Decision<MembershipMessage, MembershipEffect> {
    /** Gives the other hosts that are heard and stay, by name. */
    livePeers(): HostIdentity[];
    /** Gives the hosts that a heartbeat still goes to, those that are leaving among them. */
    heardPeers(): HostIdentity[];
    /** Gives every host that is remembered, this one first. */
    allKnown(): HostIdentity[];
    /** Gives the addresses for a caller, nearest first; never a host that leaves. */
    rankAddresses(place: CallerPlace): HostIdentity[];
    /** Names the host that polls an engine. */
    pollerOf(engine: string, engineZone: string): string | undefined;
    /** Tells whether a host is heard and this host's heartbeats to it are answered. */
    reachable(host: string): boolean;
}

type Mutable<Type> = { -readonly [Key in keyof Type]: Type[Key]; };

class Membership implements MembershipDecision {
    readonly #identity: HostIdentity;
    readonly #random: RandomSource;
    readonly #members = new Map<string, Member>();
    readonly #hostList = new HostListView();
    readonly #own: Mutable<Omit<PeerStatus, "identity">> = {
        heartbeat: 0,
        leaving: false,
        configurationRevision: 0,
        storeConfirmedMillisecondsAgo: -1,
    };
    #mayAdvertise = true;
    #superseded = false;
    #lastTickMilliseconds: number | undefined;
    #lastHeartbeatMilliseconds: number | undefined;

    constructor(options: MembershipOptions) {
        this.#identity = options.identity;
        this.#random = options.random;
    }

    handle(message: MembershipMessage, nowMilliseconds: number): readonly MembershipEffect[] {
        return match(message)
            .with(
                { type: "heartbeat-received" },
                ({ status, known }) => this.#hear([status, ...known], nowMilliseconds),
            )
            .with({ type: "host-list" }, listing => this.#takeHostList(listing))
            .with({ type: "send-failed" }, ({ host }) => this.#noteSendFailure(host, nowMilliseconds))
            .with({ type: "own-state" }, state => this.#takeOwnState(state, nowMilliseconds))
            .with({ type: "leave" }, () => this.#leave(nowMilliseconds))
            .with({ type: "share-now" }, () => this.#heartbeats(nowMilliseconds))
            .with({ type: "tick" }, () => this.#tick(nowMilliseconds))
            .exhaustive();
    }

    livePeers(): HostIdentity[] {
        return this.#heard().filter(member => this.#stays(member)).map(member => member.identity);
    }

    heardPeers(): HostIdentity[] {
        return this.#heard().map(member => member.identity);
    }

    allKnown(): HostIdentity[] {
        return [this.#identity, ...this.#sorted().map(member => member.identity)];
    }

    rankAddresses(place: CallerPlace): HostIdentity[] {
        const others = this.#heard().filter(member => member.advertise && this.#stays(member));
        const self = this.#advertisesItself() ? [this.#identity] : [];
        return rankByDistance([...self, ...others.map(member => member.identity)], place, this.#random);
    }

    pollerOf(engine: string, engineZone: string): string | undefined {
        const self = this.#own.leaving ? [] : [this.#identity];
        return choosePoller(engine, engineZone, [...self, ...this.livePeers()]);
    }

    reachable(host: string): boolean {
        const member = this.#members.get(host);
        if (member === undefined || member.lostAtMilliseconds !== undefined) {
            return host === this.#identity.host;
        }
        const failedAt = member.sendFailedAtMilliseconds;
        return failedAt === undefined || (this.#lastTickMilliseconds ?? failedAt) - failedAt > UNREACHABLE_MILLISECONDS;
    }

    #sorted(): Member[] {
        return [...this.#members.values()].sort((left, right) => left.identity.host < right.identity.host ? -1 : 1);
    }

    #heard(): Member[] {
        return this.#sorted().filter(member => member.lostAtMilliseconds === undefined);
    }

    #stays(member: Member): boolean {
        return !member.leaving && !this.#hostList.isLeaving(member.identity);
    }

    #advertisesItself(): boolean {
        return this.#mayAdvertise && !this.#own.leaving && !this.#superseded
            && !this.#hostList.isLeaving(this.#identity);
    }

    #hear(statuses: readonly PeerStatus[], nowMilliseconds: number): MembershipEffect[] {
        const effects: MembershipEffect[] = [];
        let urgentNews = false;
        for (const status of statuses) {
            if (status.identity.host === this.#identity.host) {
                this.#superseded ||= status.identity.incarnation > this.#identity.incarnation;
                continue;
            }
            if (status.lost === true) {
                effects.push(...this.#hearLoss(status, nowMilliseconds));
                continue;
            }
            const change = mergeStatus(this.#members, status, nowMilliseconds);
            effects.push(...this.#announce(change));
            urgentNews ||= change.type === "began-leaving";
        }
        return urgentNews && this.#usesRumours() ? [...effects, ...this.#heartbeats(nowMilliseconds)] : effects;
    }

    /** Believes another zone about the loss of a host of that zone; hosts of its own zone it judges itself. */
    #hearLoss(status: PeerStatus, nowMilliseconds: number): MembershipEffect[] {
        const member = this.#members.get(status.identity.host);
        const same = member?.identity.incarnation === status.identity.incarnation;
        if (member === undefined || !same || status.identity.zone === this.#identity.zone || !this.#usesRumours()) {
            return [];
        }
        if (member.lostAtMilliseconds !== undefined || member.heartbeat > status.heartbeat) {
            return [];
        }
        markLost(member, nowMilliseconds);
        return [{ type: "peer-down", identity: member.identity }];
    }

    #usesRumours(): boolean {
        return this.#heard().length >= FULL_MESH_HOSTS;
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
        return this.#stays(member) ? [up] : [up, { type: "peer-leaving", identity: member.identity }];
    }

    #takeHostList(listing: Extract<MembershipMessage, { type: "host-list"; }>): MembershipEffect[] {
        const stayed = this.#heard().filter(member => this.#stays(member));
        this.#hostList.update(listing, host => this.#incarnationOf(host));
        return stayed
            .filter(member => !this.#stays(member))
            .map(member => ({ type: "peer-leaving", identity: member.identity }));
    }

    #incarnationOf(host: string): string | undefined {
        return host === this.#identity.host
            ? this.#identity.incarnation
            : this.#members.get(host)?.identity.incarnation;
    }

    #noteSendFailure(host: string, nowMilliseconds: number): MembershipEffect[] {
        const member = this.#members.get(host);
        if (member !== undefined) {
            member.sendFailedAtMilliseconds = nowMilliseconds;
        }
        return [];
    }

    #takeOwnState(
        state: Extract<MembershipMessage, { type: "own-state"; }>,
        nowMilliseconds: number,
    ): MembershipEffect[] {
        const rises = state.configurationRevision > this.#own.configurationRevision;
        this.#own.configurationRevision = state.configurationRevision;
        this.#own.storeConfirmedMillisecondsAgo = state.storeConfirmedMillisecondsAgo;
        this.#mayAdvertise = state.advertise;
        return rises ? this.#heartbeats(nowMilliseconds) : [];
    }

    #leave(nowMilliseconds: number): MembershipEffect[] {
        this.#own.leaving = true;
        return this.#heartbeats(nowMilliseconds);
    }

    #tick(nowMilliseconds: number): MembershipEffect[] {
        this.#forgiveOwnPause(nowMilliseconds);
        this.#lastTickMilliseconds = nowMilliseconds;
        const effects = this.#findLost(nowMilliseconds);
        const due = (this.#lastHeartbeatMilliseconds ?? -Infinity) + HEARTBEAT_INTERVAL_MILLISECONDS;
        if (nowMilliseconds < due) {
            return effects;
        }
        this.#lastHeartbeatMilliseconds = nowMilliseconds;
        this.#forgetLongLost(nowMilliseconds);
        return [...effects, ...this.#heartbeats(nowMilliseconds), ...this.#probes(nowMilliseconds)];
    }

    /** Moves all deadlines by the length of a pause of this host, during which it could hear nobody. */
    #forgiveOwnPause(nowMilliseconds: number): void {
        const gap = nowMilliseconds - (this.#lastTickMilliseconds ?? nowMilliseconds);
        if (gap <= OWN_PAUSE_MILLISECONDS) {
            return;
        }
        for (const member of this.#members.values()) {
            member.progressedAtMilliseconds = Math.min(nowMilliseconds, member.progressedAtMilliseconds + gap);
        }
    }

    #findLost(nowMilliseconds: number): MembershipEffect[] {
        const heard = this.#heard();
        const identities = heard.map(member => member.identity);
        const silent = heard.filter(member => {
            const timeout = failureTimeout(this.#identity, identities, member.identity);
            return nowMilliseconds - member.progressedAtMilliseconds > timeout;
        });
        silent.forEach(member => markLost(member, nowMilliseconds));
        return silent.map(member => ({ type: "peer-down", identity: member.identity }));
    }

    /** Forgets hosts that are lost for long and no longer listed by the platform. */
    #forgetLongLost(nowMilliseconds: number): void {
        for (const [host, member] of this.#members) {
            const lostFor = nowMilliseconds - (member.lostAtMilliseconds ?? nowMilliseconds);
            if (lostFor > FORGET_MILLISECONDS && this.#hostList.isGone(host)) {
                this.#members.delete(host);
            }
        }
    }

    #heartbeats(nowMilliseconds: number): MembershipEffect[] {
        this.#own.heartbeat += 1;
        const heard = this.#heard();
        const targets = chooseTargets(this.#identity, heard.map(member => member.identity), this.#random);
        return targets.map(target => this.#heartbeat(target, nowMilliseconds));
    }

    #heartbeat(target: Pick<HostIdentity, "host" | "peersUrl" | "zone">, nowMilliseconds: number): MembershipEffect {
        const members = this.#sorted().filter(member => member.identity.host !== target.host);
        return {
            type: "send-heartbeat",
            host: target.host,
            peersUrl: target.peersUrl,
            status: this.#ownStatus(),
            known: selectKnown(members, this.#identity, target.zone, this.#random)
                .map(member => renderStatus(member, nowMilliseconds)),
        };
    }

    #ownStatus(): PeerStatus {
        return { identity: this.#identity, ...this.#own, advertise: this.#advertisesItself() };
    }

    /** Tries hosts that are lost, or listed by the platform and not yet heard. */
    #probes(nowMilliseconds: number): MembershipEffect[] {
        const lost = this.#sorted().filter(member => member.lostAtMilliseconds !== undefined)
            .map(member => member.identity);
        const unknown = this.#hostList.live()
            .filter(({ host }) => host !== this.#identity.host && !this.#members.has(host));
        const candidates = [...lost, ...unknown.map(listed => ({ ...listed, zone: this.#identity.zone }))];
        return sample(candidates, PROBES_PER_HEARTBEAT, this.#random)
            .map(target => this.#heartbeat(target, nowMilliseconds));
    }
}

/**
 * Creates the membership decision of one host.
 *
 * Every host counts its heartbeats, and hosts pass on the highest counters that they have seen. A host is lost to this
 * one only when its counter stops rising on every path, so a cut between two hosts alone makes neither drop the other.
 *
 * @param options Identity of this host, and its random source.
 * @returns The decision.
 *
 * @example
 * ```ts
 * const membership = createMembershipDecision({ identity, random: createSeededRandom(1) });
 * const effects = membership.handle({ type: "tick" }, 0);
 * ```
 */
export function createMembershipDecision(options: MembershipOptions): MembershipDecision {
    return new Membership(options);
}
